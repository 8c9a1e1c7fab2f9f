import { createHash } from 'node:crypto';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { request } from 'undici';
import type { Catalogue } from '#catalogue/Catalogue.js';
import { StandinBackendServer } from '#standin/StandinBackendServer.js';
import type { ControlSample } from '#load/ControlSample.js';
import { fitSlope } from '#load/FitSlope.js';
import { FleetProcess } from '#load/FleetProcess.js';
import { Measurement } from '#load/Measurement.js';
import type { MeasurementResult } from '#load/MeasurementResult.js';

const FLEET_SIZES: readonly number[] = [6, 18, 60];
const MEMBERS_PER_SERVICE = 20;
const FAILURE_DOMAINS = 4;
const START_BATCH_SIZE = 10;
/** Time in which joins and the first moves complete. */
const SETTLE_MS = 15_000;
const OBSERVATION_MS = 10_000;
const BYTES_PER_MB = 1e6;
const TARGET_CPU_PERCENT = 3.4;
const TARGET_MB = 32;
const TARGET_KB_PER_SECOND = 3;
const TOKEN = 'token-of-the-measuring-operator';
const COMMAND: readonly string[] = [
  process.execPath,
  '--disable-warning=ExperimentalWarning',
  'build/packages/cli/src/Main.js',
];

/**
 * Measures the cost of control for an idle daemon: processor time, bytes sent to other daemons, and memory beyond that
 * of a daemon with control off. Control is off in a daemon to which no backend server has announced itself.
 */
export class ControlCostMeasurement extends Measurement {
  public override readonly name = 'control';
  public override readonly target = `at most ${TARGET_CPU_PERCENT} % of a core, ${TARGET_MB} MB and ${TARGET_KB_PER_SECOND} KB per second for each daemon`;
  public override readonly baseline = 'control off';
  private folder = '';
  private processes: readonly FleetProcess[] = [];
  private backends: readonly StandinBackendServer[] = [];

  public override async run(seed: number): Promise<MeasurementResult> {
    const baseline = await this.observeFleet(1, false, seed);
    const samples: ControlSample[] = []; // eslint-disable-line no-restricted-syntax -- local accumulator
    for (const size of FLEET_SIZES) samples.push(await this.observeFleet(size, true, seed));
    const rows = [baseline, ...samples].map((sample) => formatRow(sample, baseline));
    const slope = (pick: (sample: ControlSample) => number): number =>
      fitSlope(samples.map((sample) => [sample.daemons, pick(sample)]));
    rows.push([
      'slope per 1,000 daemons',
      slope(({ cpuPercent }) => cpuPercent) * 1000,
      slope(({ kbPerSecond }) => kbPerSecond) * 1000,
      (slope(({ residentBytes }) => residentBytes) * 1000) / BYTES_PER_MB,
      slope(({ storeCallsPerSecond }) => storeCallsPerSecond) * 1000,
    ]);
    const isMet = samples.every(
      ({ cpuPercent, kbPerSecond, residentBytes }) =>
        cpuPercent - baseline.cpuPercent <= TARGET_CPU_PERCENT &&
        kbPerSecond <= TARGET_KB_PER_SECOND &&
        (residentBytes - baseline.residentBytes) / BYTES_PER_MB <= TARGET_MB,
    );
    const columns = ['daemons', 'CPU %', 'KB/s sent', 'MB beyond control off', 'store calls/s'];
    return { columns, rows, isMet };
  }

  private async observeFleet(size: number, hasControl: boolean, seed: number): Promise<ControlSample> {
    this.folder = mkdtempSync(join(tmpdir(), 'amaranthrouter-control-'));
    try {
      const store = await this.start(['standin-store'], 'store');
      const storeUrl = `http://127.0.0.1:${store.values.get('port') ?? 0}`;
      await putCatalogue(storeUrl, Math.ceil(size / MEMBERS_PER_SERVICE));
      const daemons = await this.startDaemons(size, storeUrl, hasControl, seed);
      await delay(SETTLE_MS);
      return await observe(size, daemons, storeUrl);
    } finally {
      await this.stopAll();
    }
  }

  private async startDaemons(
    size: number,
    storeUrl: string,
    hasControl: boolean,
    seed: number,
  ): Promise<readonly FleetProcess[]> {
    let daemons: readonly FleetProcess[] = [];
    for (let first = 0; first < size; first += START_BATCH_SIZE) {
      const numbers = Array.from(
        { length: Math.min(START_BATCH_SIZE, size - first) },
        (_, index) => first + index,
      );
      const seeds = daemons.slice(0, 3).map((daemon) => `127.0.0.1:${daemon.values.get('peer') ?? 0}`);
      const started = await Promise.all(numbers.map((number) => this.startDaemon(number, storeUrl, seeds)));
      if (hasControl)
        await Promise.all(started.map((daemon, index) => this.announce(daemon, first + index, seed)));
      daemons = [...daemons, ...started];
    }
    return daemons;
  }

  private startDaemon(number: number, storeUrl: string, seeds: readonly string[]): Promise<FleetProcess> {
    const settings = {
      serverId: `server-${number}`,
      vm: `vm-${number}`,
      region: 'region',
      failureDomain: `domain-${number % FAILURE_DOMAINS}`,
      host: '127.0.0.1',
      ports: { caller: 0, peer: 0, udp: 0, admin: 0, backend: 0 },
      storeUrl,
      seeds,
      fleetKey: 'key-of-a-fleet-on-loopback-for-tests-only',
      logs: '',
      timings: {},
    };
    const file = join(this.folder, `${number}.json`);
    writeFileSync(file, JSON.stringify(settings));
    return this.start(['daemon', file], `daemon-${number}`);
  }

  private async announce(daemon: FleetProcess, number: number, seed: number): Promise<void> {
    const backend = new StandinBackendServer({
      service: formatServiceName(Math.floor(number / MEMBERS_PER_SERVICE)),
      slots: 6,
      connections: 120,
      checksToken: true,
      serviceMs: 1,
      coldStartMs: 0,
      announceUrl: `http://127.0.0.1:${daemon.values.get('backend') ?? 0}/announce`,
      reportLagMs: 0,
      recordFile: '',
      seed,
    });
    this.backends = [...this.backends, backend];
    await backend.start();
  }

  private async start(args: readonly string[], name: string): Promise<FleetProcess> {
    const started = await FleetProcess.start([...COMMAND, ...args], join(this.folder, `${name}.log`));
    this.processes = [...this.processes, started];
    return started;
  }

  private async stopAll(): Promise<void> {
    for (const backend of this.backends) backend.stop();
    for (const each of this.processes) each.signal('SIGKILL');
    await Promise.all(this.processes.map((each) => each.waitEnd()));
    this.backends = [];
    this.processes = [];
    rmSync(this.folder, { recursive: true, force: true });
  }
}

async function observe(
  daemons: number,
  processes: readonly FleetProcess[],
  storeUrl: string,
): Promise<ControlSample> {
  const startCpuMs = sum(processes.map((each) => each.readCpuMs()));
  const startBytes = await readBytesSent(processes);
  const startCalls = await countStoreCalls(storeUrl);
  const startedMs = performance.now();
  await delay(OBSERVATION_MS);
  const seconds = (performance.now() - startedMs) / 1000;
  const cpuMs = sum(processes.map((each) => each.readCpuMs())) - startCpuMs;
  return {
    daemons,
    cpuPercent: cpuMs / seconds / 10 / processes.length,
    kbPerSecond: ((await readBytesSent(processes)) - startBytes) / seconds / 1000 / processes.length,
    residentBytes: sum(processes.map((each) => each.readResidentBytes())) / processes.length,
    storeCallsPerSecond: ((await countStoreCalls(storeUrl)) - startCalls) / seconds,
  };
}

/** Returns how many bytes the daemons sent to each other, from the metrics of the administration API. */
async function readBytesSent(processes: readonly FleetProcess[]): Promise<number> {
  const counts = await Promise.all(
    processes.map(async (each) => {
      const url = `http://127.0.0.1:${each.values.get('admin') ?? 0}/metrics`;
      const response = await request(url, { headers: { authorization: `Bearer ${TOKEN}` } });
      const text = await response.body.text();
      return Number(/control_bytes_sent\S* ([0-9.e+]+)/.exec(text)?.[1] ?? 0);
    }),
  );
  return sum(counts);
}

async function countStoreCalls(storeUrl: string): Promise<number> {
  const response = await request(`${storeUrl}/stats`);
  const stats = (await response.body.json()) as Readonly<Record<string, number>>;
  return (stats.reads ?? 0) + (stats.writes ?? 0) + (stats.watches ?? 0);
}

async function putCatalogue(storeUrl: string, services: number): Promise<void> {
  const tokenHash = createHash('sha256').update(TOKEN).digest('hex');
  const catalogue: Catalogue = {
    regions: ['region'],
    services: Array.from({ length: services }, (_, index) => ({
      name: formatServiceName(index),
      keyed: true,
      cells: 1,
      orderGraceMs: 0,
    })),
    owners: [{ name: 'operations', tokenHashes: [tokenHash], operator: true }],
    entries: [],
  };
  const response = await request(`${storeUrl}/objects/catalogue`, {
    method: 'PUT',
    headers: { 'if-none-match': '*' },
    body: JSON.stringify({ marks: ['setup'], value: { author: 'setup', catalogue } }),
  });
  await response.body.dump();
}

function formatServiceName(index: number): string {
  return `service-${index}`;
}

function formatRow(sample: ControlSample, baseline: ControlSample): readonly (string | number)[] {
  const name = sample === baseline ? 'control off' : String(sample.daemons);
  const megabytes = (sample.residentBytes - baseline.residentBytes) / BYTES_PER_MB;
  return [name, sample.cpuPercent, sample.kbPerSecond, megabytes, sample.storeCallsPerSecond];
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

function delay(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}
