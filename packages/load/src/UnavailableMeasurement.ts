import { setTimeout as delay } from 'node:timers/promises';
import { findShard } from '#assignment/FindShard.js';
import type { Cell } from '#assignment/Cell.js';
import type { Call } from '#load/Call.js';
import { createContent } from '#load/CreateContent.js';
import { createFaultFleetOptions } from '#load/CreateFaultFleetOptions.js';
import { createMix } from '#load/CreateMix.js';
import { Fleet } from '#load/Fleet.js';
import type { Instance } from '#settings/Instance.js';
import { HistoryRecorder } from '#load/HistoryRecorder.js';
import { measureUnavailability } from '#load/MeasureUnavailability.js';
import { LoadGenerator } from '#load/LoadGenerator.js';
import { Measurement } from '#load/Measurement.js';
import type { MeasurementResult } from '#load/MeasurementResult.js';
import type { UnavailableVariant } from '#load/UnavailableVariant.js';

const COMMAND: readonly string[] = [
  process.execPath,
  '--disable-warning=ExperimentalWarning',
  'build/packages/cli/src/Main.js',
];
const READY_TIMEOUT_MS = 30_000;
const LOAD_DURATION_MS = 14_000;
/** Time in which shards move from the server that started first to the others, and slow start ends. */
const EVENT_DELAY_MS = 8000;
const RATE_PER_SECOND = 250;
const KEY_COUNT = 128;
/** Short, since it limits how precisely a failed request shows when its key was unavailable. */
const REQUEST_DEADLINE_MS = 250;
const LOSS_TARGET_MS = 3000;
const BASELINE = 'no event';

const kill =
  (what: 'daemon' | 'vm') =>
  (fleet: Fleet, serverId: string): Promise<void> =>
    fleet.kill(serverId, what);

const VARIANTS: readonly UnavailableVariant[] = [
  { name: BASELINE, targetMs: 0, trigger: () => Promise.resolve(), affectsDomain: false },
  { name: 'daemon killed', targetMs: LOSS_TARGET_MS, trigger: kill('daemon'), affectsDomain: false },
  { name: 'VM lost', targetMs: LOSS_TARGET_MS, trigger: kill('vm'), affectsDomain: false },
  { name: 'daemon frozen', targetMs: LOSS_TARGET_MS, trigger: freeze, affectsDomain: false },
  { name: 'failure domain lost', targetMs: LOSS_TARGET_MS, trigger: kill('vm'), affectsDomain: true },
  { name: 'store outage', targetMs: 0, trigger: stopStore, affectsDomain: false },
  { name: 'planned move', targetMs: REQUEST_DEADLINE_MS, trigger: withdraw, affectsDomain: false },
];

/** Measures for how long the keys of an owner are unavailable after its loss and after planned events. */
export class UnavailableMeasurement extends Measurement {
  public override readonly name: string = 'unavailable';
  public override readonly baseline: string = BASELINE;
  public override readonly target: string =
    `each key served again ${LOSS_TARGET_MS} ms after a loss, no failed request in a store outage, ` +
    `at most ${REQUEST_DEADLINE_MS} ms for a planned move (a handshake that ends within one deadline)`;

  public override async run(seed: number): Promise<MeasurementResult> {
    const rows: (readonly (string | number)[])[] = []; // eslint-disable-line no-restricted-syntax -- local result
    let isMet = true;
    for (const variant of VARIANTS) {
      const { affectedKeys, failed, timesMs } = await runVariant(variant, seed);
      const longestMs = Math.max(0, ...timesMs);
      const medianMs = [...timesMs].sort((left, right) => left - right)[Math.floor(timesMs.length / 2)] ?? 0;
      isMet &&= longestMs <= variant.targetMs;
      const figures = [affectedKeys, failed, Math.round(medianMs), Math.round(longestMs), variant.targetMs];
      rows.push([variant.name, ...figures.map(String)]);
    }
    const columns = ['event', 'keys hit', 'failed', 'median ms', 'longest ms', 'target ms'];
    return { columns, rows, isMet };
  }
}

interface VariantFigures {
  readonly affectedKeys: number;
  readonly failed: number;
  readonly timesMs: readonly number[];
}

async function runVariant(variant: UnavailableVariant, seed: number): Promise<VariantFigures> {
  // The target applies to the default timings.
  const options = { ...createFaultFleetOptions(COMMAND, seed, ''), timings: {} };
  const { instances } = options;
  const fleet = new Fleet(options);
  const history = new HistoryRecorder();
  const keys = new Map<string, string>();
  try {
    await fleet.start();
    await fleet.waitServing(READY_TIMEOUT_MS);
    const targetServerId = instances[0]?.serverId ?? '';
    const affected = variant.affectsDomain ? listFailureDomain(instances, targetServerId) : [targetServerId];
    // Requests sent to a lost daemon would count as failures of their key.
    const entryInstances = instances.filter(({ serverId }) => !affected.includes(serverId));
    const generator = new LoadGenerator(
      {
        targets: entryInstances.map(({ serverId }) => fleet.callerUrl(serverId)),
        ratePerSecond: RATE_PER_SECOND,
        maxRequests: (RATE_PER_SECOND * LOAD_DURATION_MS) / 1000,
        maxDurationMs: LOAD_DURATION_MS,
        warmUpMs: 0,
        maxInFlight: 2000,
        connections: 64,
        seed,
        keys: { keyCount: KEY_COUNT, exponent: 0, hotKeys: 0, shiftEveryMs: LOAD_DURATION_MS },
        mix: createMix(options.catalogue)
          .filter(({ repeatable }) => repeatable)
          .map((loadClass) => ({ ...loadClass, deadlineMs: REQUEST_DEADLINE_MS, maxRetries: 0 })),
        followOwner: false,
      },
      createContent((call: Call) => keys.set(call.requestId, call.key)),
      history,
    );
    const loading = generator.run();
    await delay(EVENT_DELAY_MS);
    const service = options.catalogue.services[0]?.name ?? '';
    const cell = await fleet.readCell(service);
    const eventMs = Date.now();
    await Promise.all(affected.map((serverId) => variant.trigger(fleet, serverId)));
    await loading;
    const isAffected = (key: string): boolean =>
      cell !== undefined && affected.includes(findOwner(cell, key));
    return measureUnavailability(history.list(), keys, isAffected, eventMs);
  } finally {
    await fleet.stop();
  }
}

function listFailureDomain(instances: readonly Instance[], serverId: string): readonly string[] {
  const domain = instances.find((each) => each.serverId === serverId)?.failureDomain;
  return instances.filter((each) => each.failureDomain === domain).map((each) => each.serverId);
}

function findOwner(cell: Cell, key: string): string {
  return findShard(cell, '*', key)?.shard.owner ?? '';
}

function freeze(fleet: Fleet, serverId: string): Promise<void> {
  fleet.signal(serverId, 'SIGSTOP', 'daemon');
  return Promise.resolve();
}

function stopStore(fleet: Fleet): Promise<void> {
  return fleet.setStoreFaults({ down: true });
}

function withdraw(fleet: Fleet, serverId: string): Promise<void> {
  return fleet.setIntent({
    withdrawals: [{ kind: 'server', name: serverId, author: 'setup', sinceMs: Date.now() }],
    confirmedLost: [],
  });
}
