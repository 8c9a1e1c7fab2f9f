import type { AssignmentPolicy } from '#assignment/AssignmentPolicy.js';
import type { Cell } from '#assignment/Cell.js';
import type { CellLoads } from '#assignment/CellLoads.js';
import { completeMoves } from '#assignment/CompleteMoves.js';
import { CostAwarePolicy } from '#assignment/CostAwarePolicy.js';
import { createMoveBudget } from '#assignment/CreateMoveBudget.js';
import { GreedyPolicy } from '#assignment/GreedyPolicy.js';
import { joinCell } from '#assignment/JoinCell.js';
import { listOwnedShards } from '#assignment/ListOwnedShards.js';
import { planMoves } from '#assignment/PlanMoves.js';
import { planTakeover } from '#assignment/PlanTakeover.js';
import { recordMoves } from '#assignment/RecordMoves.js';
import { RendezvousPolicy } from '#assignment/RendezvousPolicy.js';
import { slotCount } from '#assignment/SlotCount.js';
import type { WithdrawalTarget } from '#assignment/WithdrawalTarget.js';
import { createTestMember } from '#load/CreateTestMember.js';
import { createTestCell } from '#load/CreateTestCell.js';
import { ImbalanceLoad } from '#load/ImbalanceLoad.js';
import { Measurement } from '#load/Measurement.js';
import type { MeasurementResult } from '#load/MeasurementResult.js';

const STEP_MS = 500;
const SETTLE_MS = 180_000;
const MEMBERS = 6;
const DOMAIN_OUT: readonly WithdrawalTarget[] = [{ kind: 'failureDomain', name: 'd0' }];
const POLICIES: readonly AssignmentPolicy[] = [
  new RendezvousPolicy(),
  new GreedyPolicy(),
  new CostAwarePolicy(),
];
const CHOSEN = 'costAware';
/** Moves of the chosen policy, relative to the reference, that the target allows. */
const MAX_EXCESS = 1.25;
const MAX_DRAIN_SECONDS = 5;

interface Settled {
  readonly cell: Cell;
  readonly moved: number;
  /** Time of the last move, in seconds. */
  readonly seconds: number;
}

/** Shards that change owner when a member joins or is lost, and when a failure domain leaves and returns. */
export class ChurnMeasurement extends Measurement {
  public override readonly name: string = 'churn';
  public override readonly baseline: string = 'rendezvous';
  public override readonly target: string =
    `${CHOSEN}: shards moved at most ${MAX_EXCESS} times the reference at each event (the shards of the one that ` +
    `leaves, or an equal share of the slots for one that joins), ` +
    `a withdrawn failure domain empty within ${MAX_DRAIN_SECONDS} s`;

  public override run(seed: number): Promise<MeasurementResult> {
    const loads = createLoads(seed);
    const rows = POLICIES.flatMap((policy) => measurePolicy(policy, loads));
    const chosen = rows.filter(([name]) => name.startsWith(CHOSEN));
    const isSlow = ([name, , , , seconds]: Row): boolean =>
      name.endsWith('out') && seconds > MAX_DRAIN_SECONDS;
    return Promise.resolve({
      columns: ['event', 'moved', 'reference', 'ratio', 'seconds', 'imbalance'],
      rows: rows.map(([name, moved, reference, ratio, ...rest]) => [
        name,
        String(moved),
        String(reference),
        ratio,
        ...rest,
      ]),
      isMet: chosen.every((row) => row[3] <= MAX_EXCESS && !isSlow(row)),
    });
  }
}

type Row = readonly [
  name: string,
  moved: number,
  reference: number,
  ratio: number,
  seconds: number,
  imbalance: number,
];

function createLoads(seed: number): CellLoads {
  const scenario = {
    members: MEMBERS,
    hotKeys: 390,
    exponent: 1,
    hotShare: 0.6,
    requestsPerSecond: 2_000,
    changeEverySeconds: Infinity,
    durationSeconds: 1,
    smoothingMs: 1,
  };
  return { shards: new ImbalanceLoad(scenario, seed).ratesAt(0).slots, shares: new Map() };
}

function measurePolicy(policy: AssignmentPolicy, loads: CellLoads): readonly Row[] {
  const fair = Math.floor(slotCount / MEMBERS);
  const start = settle(createTestCell(MEMBERS, policy), policy, loads).cell;
  const lostId = 's0';
  const owned = listOwnedShards(start, lostId).length;

  const taken = planTakeover(start, [lostId], { policy, loads });
  const loss = settle(write(taken), policy, loads);
  const fresh = joinCell(
    settle(createTestCell(MEMBERS - 1, policy), policy, loads).cell,
    createTestMember(MEMBERS - 1),
    {
      policy,
      loads,
    },
  );
  const join = settle(write(fresh), policy, loads);
  const out = settle(start, policy, loads, DOMAIN_OUT);
  const back = settle(out.cell, policy, loads);
  const describe = (event: string, run: Settled, extra: number, reference: number, exclude = ''): Row => {
    const moved = run.moved + extra;
    return [
      `${policy.name} ${event}`,
      moved,
      reference,
      moved / reference,
      run.seconds,
      findImbalance(run.cell, loads, exclude),
    ];
  };
  return [
    describe('loss', loss, owned, owned, lostId),
    describe('join', join, 0, fair),
    describe('domain out', out, 0, owned, lostId),
    describe('domain back', back, 0, fair),
  ];
}

function write(cell: Cell): Cell {
  return { ...cell, version: cell.version + 1, shards: clearAllFences(cell) };
}

/** Treats all fences as satisfied, as they are within seconds of a takeover. */
function clearAllFences(cell: Cell): Cell['shards'] {
  return Object.fromEntries(
    Object.entries(cell.shards).map(([shardId, shard]) => [shardId, { ...shard, fences: [] }]),
  );
}

function settle(
  start: Cell,
  policy: AssignmentPolicy,
  loads: CellLoads,
  withdrawn: readonly WithdrawalTarget[] = [],
): Settled {
  let state: Settled = { cell: start, moved: 0, seconds: 0 };
  let budget = createMoveBudget();
  for (let nowMs = 0; nowMs < SETTLE_MS; nowMs += STEP_MS) {
    const moves = planMoves(state.cell, loads, withdrawn, budget, nowMs, policy);
    if (moves.length === 0) continue;
    budget = recordMoves(budget, moves, nowMs);
    const cell = write(completeMoves(state.cell, moves));
    state = { cell, moved: state.moved + moves.length, seconds: nowMs / 1_000 };
  }
  return state;
}

function findImbalance(cell: Cell, loads: CellLoads, exclude: string): number {
  const values = cell.members
    .filter((member) => member.serverId !== exclude)
    .map((member) =>
      listOwnedShards(cell, member.serverId).reduce((sum, id) => sum + (loads.shards.get(id) ?? 0), 0),
    );
  return (Math.max(...values) * values.length) / values.reduce((sum, value) => sum + value, 0);
}
