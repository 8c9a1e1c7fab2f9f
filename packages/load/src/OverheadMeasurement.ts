import { execFile } from 'node:child_process';
import { promisify } from 'node:util';
import { findShard } from '#assignment/FindShard.js';
import type { Catalogue } from '#catalogue/Catalogue.js';
import type { Entry } from '#catalogue/Entry.js';
import { Fleet } from '#load/Fleet.js';
import type { Instance } from '#settings/Instance.js';
import { FleetProcess } from '#load/FleetProcess.js';
import type { LoopOptions } from '#load/LoopOptions.js';
import type { LoopResult } from '#load/LoopResult.js';
import { Measurement } from '#load/Measurement.js';
import type { MeasurementResult } from '#load/MeasurementResult.js';

const TEAM = 'team';
const SAMPLE_DURATION_MS = 4000;
const WARM_UP_MS = 2000;
const CONNECTION_COUNT = 32;
const ROUND_COUNT = 3;
const TARGET_RATIO = 0.6;
const READY_TIMEOUT_MS = 20_000;
const SETTLE_DELAY_MS = 10_000;
const KEY_COUNT = 2000;
const MICROS_PER_MS = 1000;
const NODE_COMMAND: readonly string[] = [process.execPath, '--disable-warning=ExperimentalWarning'];
const LIMITS: Entry['limits'] = {
  ratePerSecond: 1_000_000,
  burst: 100_000,
  concurrency: 10_000,
  share: 1,
  priority: 0,
  defaultDeadlineMs: 1000,
  maxDeadlineMs: 5000,
  maxBodyBytes: 65_536,
  interRegionBytesPerSecond: 0,
};

interface Variant {
  readonly name: string;
  readonly url: string;
  readonly service: string;
  readonly keys: readonly string[];
  readonly process: FleetProcess;
}

interface Sample extends LoopResult {
  readonly cpuUs: number;
}

/**
 * Compares the processor time that a daemon takes for a request, with all rules on, with that of a bare HTTP pipe. It is
 * the time of the process, so other work on the machine changes it little; its inverse is the rate of one core.
 */
export class OverheadMeasurement extends Measurement {
  public override readonly name = 'overhead';
  public override readonly target =
    'one core carries at least 60 % of the rate of a bare http-to-undici pipe';
  public override readonly baseline = 'pipe';
  private pipes: readonly FleetProcess[] = [];

  public override async run(seed: number): Promise<MeasurementResult> {
    const fleet = new Fleet({
      command: [...NODE_COMMAND, 'build/packages/cli/src/Main.js'],
      instances: createInstances(),
      catalogue: createCatalogue(),
      serviceMs: 0,
      coldStartMs: 0,
      seed,
      logs: '',
      backendCommand: (announceUrl, service) => [
        ...NODE_COMMAND,
        'build/packages/load/src/PlainBackendMain.js',
        announceUrl,
        service,
      ],
    });
    try {
      await fleet.start();
      await fleet.waitServing(READY_TIMEOUT_MS);
      await new Promise((resolve) => setTimeout(resolve, SETTLE_DELAY_MS));
      const variants = [await this.createPipe(), ...(await createDaemonVariants(fleet))];
      return await this.compare(variants);
    } finally {
      await fleet.stop();
      for (const pipe of this.pipes) pipe.signal('SIGKILL');
    }
  }

  private async createPipe(): Promise<Variant> {
    const backend = await FleetProcess.start(
      [...NODE_COMMAND, 'build/packages/load/src/PlainBackendMain.js'],
      '/dev/null',
    );
    const backendUrl = `http://127.0.0.1:${backend.values.get('port') ?? 0}`;
    const pipe = await FleetProcess.start(
      [...NODE_COMMAND, 'build/packages/load/src/PipeMain.js', backendUrl],
      '/dev/null',
    );
    this.pipes = [backend, pipe];
    const url = `http://127.0.0.1:${pipe.values.get('caller') ?? 0}`;
    return { name: 'pipe', url, service: 'open', keys: ['key'], process: pipe };
  }

  private async compare(variants: readonly Variant[]): Promise<MeasurementResult> {
    const samples = new Map<string, readonly Sample[]>();
    for (const variant of variants) await runLoop(variant, WARM_UP_MS);
    for (let round = 0; round < ROUND_COUNT; round += 1) {
      for (const variant of variants) {
        const sample = await runLoop(variant, SAMPLE_DURATION_MS);
        samples.set(variant.name, [...(samples.get(variant.name) ?? []), sample]);
      }
    }
    return summarize(samples);
  }
}

async function createDaemonVariants(fleet: Fleet): Promise<readonly Variant[]> {
  const cell = await fleet.readCell('owned');
  if (cell === undefined) throw new Error('the cell of the service "owned" is missing');
  const keys = Array.from({ length: KEY_COUNT }, (_, index) => `key-${index}`);
  const isOwn = (key: string): boolean => findShard(cell, '*', key)?.shard.owner === 'owned-1';
  const variant = (
    name: string,
    service: string,
    serverId: string,
    variantKeys: readonly string[],
  ): Variant => ({
    name,
    service,
    keys: variantKeys,
    url: fleet.callerUrl(serverId),
    process: fleet.daemonProcess(serverId),
  });
  return [
    variant('daemon, no key', 'open', 'open-1', ['key']),
    variant('daemon, own key', 'owned', 'owned-1', keys.filter(isOwn)),
    variant(
      'entry daemon, key of another',
      'owned',
      'owned-1',
      keys.filter((key) => !isOwn(key)),
    ),
  ];
}

async function runLoop(variant: Variant, durationMs: number): Promise<Sample> {
  const options: LoopOptions = {
    url: variant.url,
    path: `/v1/${variant.service}/x`,
    headers: { 'amr-team': TEAM, 'amr-class': 'read', 'amr-deadline-ms': '2000' },
    keys: variant.keys,
    connections: CONNECTION_COUNT,
    durationMs,
  };
  const args = [...NODE_COMMAND.slice(1), 'build/packages/load/src/LoopMain.js', JSON.stringify(options)];
  const beforeMs = variant.process.readCpuMs();
  const { stdout } = await promisify(execFile)(process.execPath, args);
  const usedMs = variant.process.readCpuMs() - beforeMs;
  const result = JSON.parse(stdout) as LoopResult;
  const requests = (result.ratePerSecond * durationMs) / 1000;
  return { ...result, cpuUs: (usedMs * MICROS_PER_MS) / Math.max(1, requests) };
}

function createInstances(): readonly Instance[] {
  const instance = (service: string, number: number): Instance => ({
    serverId: `${service}-${number}`,
    service,
    region: 'region',
    failureDomain: `domain-${number}`,
    vm: `vm-${service}-${number}`,
    slots: 400,
    connections: 400,
    checksToken: false,
  });
  return [instance('open', 1), ...[1, 2, 3, 4].map((number) => instance('owned', number))];
}

function createCatalogue(): Catalogue {
  const entry = (service: string): Entry => ({
    owner: TEAM,
    service,
    class: 'read',
    repeatable: true,
    evidence: 'sent',
    homeRegions: [],
    limits: LIMITS,
  });
  return {
    regions: ['region'],
    services: [
      { name: 'open', keyed: false, cells: 1, orderGraceMs: 0 },
      { name: 'owned', keyed: true, cells: 1, orderGraceMs: 0 },
    ],
    owners: [{ name: TEAM, tokenHashes: [], operator: false }],
    entries: [entry('open'), entry('owned')],
  };
}

function summarize(samples: ReadonlyMap<string, readonly Sample[]>): MeasurementResult {
  const median = (values: readonly number[]): number =>
    [...values].sort((left, right) => left - right)[Math.floor(values.length / 2)] ?? 0;
  const rows = [...samples].map(([name, runs]) => ({
    name,
    cpuUs: median(runs.map(({ cpuUs }) => cpuUs)),
    rate: median(runs.map(({ ratePerSecond }) => ratePerSecond)),
    p50: median(runs.map(({ p50Us }) => p50Us)) / MICROS_PER_MS,
    p99: median(runs.map(({ p99Us }) => p99Us)) / MICROS_PER_MS,
    bad: runs.reduce((sum, { bad }) => sum + bad, 0),
  }));
  const base = rows[0]?.cpuUs ?? 1;
  return {
    columns: ['variant', 'CPU us', 'of the pipe', 'requests/s', 'p50 ms', 'p99 ms', 'failed'],
    rows: rows.map(({ name, cpuUs, rate, p50, p99, bad }) => [
      name,
      cpuUs,
      base / cpuUs,
      rate,
      p50,
      p99,
      bad,
    ]),
    isMet: rows.every(({ cpuUs }) => base / cpuUs >= TARGET_RATIO),
  };
}
