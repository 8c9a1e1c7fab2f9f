import { setTimeout as delay } from 'node:timers/promises';
import { findShard } from '#assignment/FindShard.js';
import { formatPlacement } from '#assignment/FormatPlacement.js';
import { indexCatalogue } from '#catalogue/IndexCatalogue.js';
import { checkHistory } from '#load/CheckHistory.js';
import { createContent } from '#load/CreateContent.js';
import { createMix } from '#load/CreateMix.js';
import type { DemoOptions } from '#load/DemoOptions.js';
import { Fleet } from '#load/Fleet.js';
import type { Instance } from '#settings/Instance.js';
import { formatMeasurementTable } from '#load/FormatMeasurementTable.js';
import type { HistoryEvent } from '#load/HistoryEvent.js';
import { HistoryRecorder } from '#load/HistoryRecorder.js';
import { LoadGenerator } from '#load/LoadGenerator.js';
import type { LoadTestReport } from '#load/LoadTestReport.js';
import { readDeployment } from '#load/ReadDeployment.js';
import { toExecutionEvent } from '#load/ToExecutionEvent.js';

const READY_TIMEOUT_MS = 25_000;
const SETTLE_DELAY_MS = 3000;
const LOAD_DURATION_MS = 14_000;
const KILL_AFTER_MS = 5000;
const RATE_PER_SECOND = 250;
const KEY_COUNT = 3000;
const HOT_KEY_COUNT = 20;
/** The keys of a lost server must be served again within this time. */
const RECOVERY_TARGET_MS = 3000;

/** Runs a deployment on loopback under load, kills the owner of some keys, and checks the rules that must hold. */
export class Demo {
  private readonly keysByRequest = new Map<string, string>();
  private readonly history = new HistoryRecorder();

  public constructor(
    private readonly options: DemoOptions,
    private readonly print: (line: string) => void,
  ) {}

  /** Runs the demo and resolves with whether every rule held. */
  public async run(): Promise<boolean> {
    const { catalogue, instances } = readDeployment(this.options.folder);
    const { command, seed, logs } = this.options;
    const fleet = new Fleet({ command, instances, catalogue, serviceMs: 6, coldStartMs: 1500, seed, logs });
    this.print(`seed ${seed}; starting a store, ${instances.length} daemons and as many backend servers`);
    try {
      await fleet.start();
      this.print('started; waiting until every shard has an owner');
      await fleet.waitServing(READY_TIMEOUT_MS);
      await delay(SETTLE_DELAY_MS);
      return await this.loadAndCheck(fleet, instances);
    } finally {
      await fleet.stop();
    }
  }

  private async loadAndCheck(fleet: Fleet, instances: readonly Instance[]): Promise<boolean> {
    const { catalogue } = readDeployment(this.options.folder);
    const service = catalogue.services.find(({ keyed }) => keyed)?.name ?? '';
    const owner = await this.findOwner(fleet, service);
    const targets = instances.filter(({ serverId }) => serverId !== owner.serverId);
    const generator = new LoadGenerator(
      {
        targets: targets.map(({ serverId }) => fleet.callerUrl(serverId)),
        ratePerSecond: RATE_PER_SECOND,
        maxRequests: (RATE_PER_SECOND * LOAD_DURATION_MS) / 1000,
        maxDurationMs: LOAD_DURATION_MS,
        maxInFlight: 2000,
        connections: 64,
        seed: this.options.seed,
        keys: { keyCount: KEY_COUNT, exponent: 0.9, hotKeys: HOT_KEY_COUNT, shiftEveryMs: 5000 },
        mix: createMix(catalogue),
        followOwner: false,
        warmUpMs: 0,
      },
      createContent((call) =>
        this.keysByRequest.set(
          call.requestId,
          `${call.loadClass.service}/${call.loadClass.class}/${call.key}`,
        ),
      ),
      this.history,
    );
    this.print(`sending ${RATE_PER_SECOND} requests a second for ${LOAD_DURATION_MS / 1000} s`);
    const running = generator.run();
    await delay(KILL_AFTER_MS);
    const killedMs = Date.now();
    await fleet.kill(owner.serverId, 'vm');
    this.print(`killed ${owner.serverId} with its backend server: ${owner.shards.size} shards lost`);
    const report = await running;
    generator.stop();
    this.print('load ended; checking the history');
    return this.reportResults(fleet, report, service, owner.shards, killedMs);
  }

  private async findOwner(
    fleet: Fleet,
    service: string,
  ): Promise<{ readonly serverId: string; readonly shards: ReadonlySet<string> }> {
    const cell = await fleet.readCell(service);
    const serverId = cell?.shards['*/0']?.owner ?? '';
    const shards = Object.entries(cell?.shards ?? {}).filter(([, { owner }]) => owner === serverId);
    return { serverId, shards: new Set(shards.map(([shardId]) => shardId)) };
  }

  private async reportResults(
    fleet: Fleet,
    report: LoadTestReport,
    service: string,
    shards: ReadonlySet<string>,
    killedMs: number,
  ): Promise<boolean> {
    const { catalogue } = readDeployment(this.options.folder);
    const index = indexCatalogue({ version: 1, author: '', catalogue });
    const executions = fleet.readRecords().map((record) => toExecutionEvent(record, index));
    const events: readonly HistoryEvent[] = [...this.history.list(), ...executions];
    const violations = checkHistory(events);
    const unavailableMs = await this.measureUnavailable(fleet, service, shards, killedMs);
    this.printLoad(report);
    const stats = await fleet.readStoreStats();
    this.print(
      `store calls: ${Object.entries(stats)
        .map(([name, count]) => `${name} ${count}`)
        .join(', ')}`,
    );
    const rules = [
      [
        'one owner for each key, and at most one run of each request id',
        String(violations.filter(isExecutionRule).length),
        violations.some(isExecutionRule) ? 'BROKEN' : 'held',
      ],
      [
        'nothing refused as "not run" ran; responses complete and sent to the right caller',
        String(violations.filter((each) => !isExecutionRule(each)).length),
        violations.every(isExecutionRule) ? 'held' : 'BROKEN',
      ],
      [
        `keys of the lost server served again within ${RECOVERY_TARGET_MS} ms`,
        `${unavailableMs} ms`,
        unavailableMs <= RECOVERY_TARGET_MS ? 'held' : 'BROKEN',
      ],
    ];
    this.print(formatMeasurementTable(['rule', 'found', 'verdict'], rules));
    for (const violation of violations.slice(0, 10)) this.print(`${violation.rule}: ${violation.message}`);
    return rules.every(([, , verdict]) => verdict === 'held');
  }

  /** Returns the time from the kill to the last failed attempt on a key of the lost server, in milliseconds. */
  private async measureUnavailable(
    fleet: Fleet,
    service: string,
    shards: ReadonlySet<string>,
    killedMs: number,
  ): Promise<number> {
    const cell = await fleet.readCell(service);
    const { catalogue } = readDeployment(this.options.folder);
    const placements = new Set(catalogue.entries.map(({ homeRegions }) => formatPlacement(homeRegions)));
    let lastMs = killedMs;
    for (const event of this.history.list()) {
      if (event.type !== 'response' || event.status < 500 || event.atMs < killedMs || cell === undefined)
        continue;
      const [name, , key = ''] = (this.keysByRequest.get(event.requestId) ?? '').split('/');
      if (name !== service) continue;
      const isLost = [...placements].some((placement) =>
        shards.has(findShard(cell, placement, key)?.shardId ?? ''),
      );
      if (isLost) lastMs = Math.max(lastMs, event.atMs);
    }
    return Math.round(lastMs - killedMs);
  }

  private printLoad(report: LoadTestReport): void {
    const rows = [...report.outcomes].map(([name, counts]) => {
      const histogram = report.latencies.get(name);
      const formatLatency = (percentile: number): string =>
        ((histogram?.getValueAtPercentile(percentile) ?? 0) / 1000).toFixed(1);
      const { ok, late, refused, failed, unknown, corrupt } = counts;
      return [
        name,
        ...[ok, late, refused, failed, unknown, corrupt].map(String),
        formatLatency(50),
        formatLatency(99),
        formatLatency(99.9),
      ];
    });
    const header = [
      'team/class',
      'ok',
      'late',
      'refused',
      'failed',
      'unknown',
      'corrupt',
      'p50 ms',
      'p99 ms',
      'p99.9 ms',
    ];
    this.print(formatMeasurementTable(header, rows));
    this.print(
      `${report.sent} requests, ${report.skipped} skipped, receipts ${report.receipts.accepted} accepted, ${report.receipts.refused} refused`,
    );
  }
}

function isExecutionRule(violation: { readonly rule: string }): boolean {
  return ['twoOwners', 'staleToken', 'sharedToken', 'ranTwice'].includes(violation.rule);
}
