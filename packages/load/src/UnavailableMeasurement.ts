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
import { listUnavailable } from '#load/ListUnavailable.js';
import { LoadGenerator } from '#load/LoadGenerator.js';
import { Measurement } from '#load/Measurement.js';
import type { MeasurementResult } from '#load/MeasurementResult.js';
import type { UnavailableVariant } from '#load/UnavailableVariant.js';

const COMMAND: readonly string[] = [
  process.execPath,
  '--disable-warning=ExperimentalWarning',
  'build/packages/cli/src/Main.js',
];
const READY_MS = 30_000;
const LOAD_MS = 14_000;
/** Under load, shards leave the server that started first, and slow start ends. */
const CAUSE_AFTER_MS = 8000;
const RATE_PER_SECOND = 250;
const KEY_COUNT = 128;
/** Short, so that a failed request shows when its key was unavailable; it also is the resolution of the result. */
const DEADLINE_MS = 250;
const LOSS_TARGET_MS = 3000;
const BASELINE = 'no event';

const kill =
  (what: 'daemon' | 'vm') =>
  (fleet: Fleet, serverId: string): Promise<void> =>
    fleet.kill(serverId, what);

const VARIANTS: readonly UnavailableVariant[] = [
  { name: BASELINE, targetMs: 0, cause: () => Promise.resolve(), hitsDomain: false },
  { name: 'daemon killed', targetMs: LOSS_TARGET_MS, cause: kill('daemon'), hitsDomain: false },
  { name: 'VM lost', targetMs: LOSS_TARGET_MS, cause: kill('vm'), hitsDomain: false },
  { name: 'daemon frozen', targetMs: LOSS_TARGET_MS, cause: freeze, hitsDomain: false },
  { name: 'failure domain lost', targetMs: LOSS_TARGET_MS, cause: kill('vm'), hitsDomain: true },
  { name: 'store outage', targetMs: 0, cause: stopStore, hitsDomain: false },
  { name: 'planned move', targetMs: DEADLINE_MS, cause: withdraw, hitsDomain: false },
];

/** Time for which the keys of an owner are not served after the loss of the owner and after planned events. */
export class UnavailableMeasurement extends Measurement {
  public override readonly name: string = 'unavailable';
  public override readonly baseline: string = BASELINE;
  public override readonly target: string =
    `each key served again ${LOSS_TARGET_MS} ms after a loss, no failed request in a store outage, ` +
    `at most ${DEADLINE_MS} ms for a planned move (a handshake that ends within one deadline)`;

  public override async run(seed: number): Promise<MeasurementResult> {
    const rows: (readonly (string | number)[])[] = []; // eslint-disable-line no-restricted-syntax -- local result
    let isMet = true;
    for (const variant of VARIANTS) {
      const { shards, failed, timesMs } = await runVariant(variant, seed);
      const longestMs = Math.max(0, ...timesMs);
      const medianMs = [...timesMs].sort((left, right) => left - right)[Math.floor(timesMs.length / 2)] ?? 0;
      isMet &&= longestMs <= variant.targetMs;
      const figures = [shards, failed, Math.round(medianMs), Math.round(longestMs), variant.targetMs];
      rows.push([variant.name, ...figures.map(String)]);
    }
    const columns = ['event', 'keys hit', 'failed', 'median ms', 'longest ms', 'target ms'];
    return { columns, rows, isMet };
  }
}

interface VariantFigures {
  readonly shards: number;
  readonly failed: number;
  readonly timesMs: readonly number[];
}

async function runVariant(variant: UnavailableVariant, seed: number): Promise<VariantFigures> {
  // The default timings, as the target is theirs.
  const options = { ...createFaultFleetOptions(COMMAND, seed, ''), timings: {} };
  const { instances } = options;
  const fleet = new Fleet(options);
  const history = new HistoryRecorder();
  const keys = new Map<string, string>();
  try {
    await fleet.start();
    await fleet.waitServing(READY_MS);
    const victim = instances[0]?.serverId ?? '';
    const hit = variant.hitsDomain ? listDomain(instances, victim) : [victim];
    // Callers of lost entry daemons would count as well.
    const entries = instances.filter(({ serverId }) => !hit.includes(serverId));
    const generator = new LoadGenerator(
      {
        targets: entries.map(({ serverId }) => fleet.callerUrl(serverId)),
        ratePerSecond: RATE_PER_SECOND,
        maxRequests: (RATE_PER_SECOND * LOAD_MS) / 1000,
        maxDurationMs: LOAD_MS,
        warmUpMs: 0,
        maxInFlight: 2000,
        connections: 64,
        seed,
        keys: { keyCount: KEY_COUNT, exponent: 0, hotKeys: 0, shiftEveryMs: LOAD_MS },
        mix: createMix(options.catalogue)
          .filter(({ repeatable }) => repeatable)
          .map((part) => ({ ...part, deadlineMs: DEADLINE_MS, maxRepeats: 0 })),
        followOwner: false,
      },
      createContent((call: Call) => keys.set(call.requestId, call.key)),
      history,
    );
    const loading = generator.run();
    await delay(CAUSE_AFTER_MS);
    const service = options.catalogue.services[0]?.name ?? '';
    const cell = await fleet.readCell(service);
    const causedMs = Date.now();
    await Promise.all(hit.map((serverId) => variant.cause(fleet, serverId)));
    await loading;
    const isHit = (key: string): boolean => cell !== undefined && hit.includes(findOwner(cell, key));
    return listUnavailable(history.list(), keys, isHit, causedMs);
  } finally {
    await fleet.stop();
  }
}

function listDomain(instances: readonly Instance[], serverId: string): readonly string[] {
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
