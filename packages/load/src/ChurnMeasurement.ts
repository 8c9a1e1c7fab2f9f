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

const PLAN_INTERVAL_MS = 500;
const SIMULATION_MS = 180_000;
const MEMBER_COUNT = 6;
const WITHDRAWN_DOMAIN: readonly WithdrawalTarget[] = [{ kind: 'failureDomain', name: 'd0' }];
const POLICIES: readonly AssignmentPolicy[] = [
  new RendezvousPolicy(),
  new GreedyPolicy(),
  new CostAwarePolicy(),
];
const CHOSEN_POLICY = 'costAware';
/** Most moves that the target allows, as a multiple of the reference. */
const MAX_MOVE_RATIO = 1.25;
const MAX_DRAIN_SECONDS = 5;

interface SimulationResult {
  readonly cell: Cell;
  readonly moved: number;
  /** Simulated time of the last move, in seconds. */
  readonly seconds: number;
}

/** Counts the shards that change owner when a member joins or is lost, or a failure domain is withdrawn or returns. */
export class ChurnMeasurement extends Measurement {
  public override readonly name: string = 'churn';
  public override readonly baseline: string = 'rendezvous';
  public override readonly target: string =
    `${CHOSEN_POLICY}: shards moved at most ${MAX_MOVE_RATIO} times the reference at each event (the shards of a ` +
    `member that leaves, or an equal share of the slots for a member that joins), ` +
    `a withdrawn failure domain empty within ${MAX_DRAIN_SECONDS} s`;

  public override run(seed: number): Promise<MeasurementResult> {
    const loads = createLoads(seed);
    const rows = POLICIES.flatMap((policy) => measurePolicy(policy, loads));
    const chosen = rows.filter(([name]) => name.startsWith(CHOSEN_POLICY));
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
      isMet: chosen.every((row) => row[3] <= MAX_MOVE_RATIO && !isSlow(row)),
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
    members: MEMBER_COUNT,
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
  const equalShare = Math.floor(slotCount / MEMBER_COUNT);
  const start = simulate(createTestCell(MEMBER_COUNT, policy), policy, loads).cell;
  const lostId = 's0';
  const owned = listOwnedShards(start, lostId).length;

  const takenOver = planTakeover(start, [lostId], { policy, loads });
  const loss = simulate(writeCell(takenOver), policy, loads);
  const joined = joinCell(
    simulate(createTestCell(MEMBER_COUNT - 1, policy), policy, loads).cell,
    createTestMember(MEMBER_COUNT - 1),
    {
      policy,
      loads,
    },
  );
  const join = simulate(writeCell(joined), policy, loads);
  const withdrawn = simulate(start, policy, loads, WITHDRAWN_DOMAIN);
  const returned = simulate(withdrawn.cell, policy, loads);
  const describe = (
    event: string,
    run: SimulationResult,
    extraMoves: number,
    reference: number,
    excludedId = '',
  ): Row => {
    const moved = run.moved + extraMoves;
    return [
      `${policy.name} ${event}`,
      moved,
      reference,
      moved / reference,
      run.seconds,
      findImbalance(run.cell, loads, excludedId),
    ];
  };
  return [
    describe('loss', loss, owned, owned, lostId),
    describe('join', join, 0, equalShare),
    describe('domain out', withdrawn, 0, owned, lostId),
    describe('domain back', returned, 0, equalShare),
  ];
}

function writeCell(cell: Cell): Cell {
  return { ...cell, version: cell.version + 1, shards: clearAllFences(cell) };
}

/** Treats all fences as satisfied, since a takeover satisfies them within seconds. */
function clearAllFences(cell: Cell): Cell['shards'] {
  return Object.fromEntries(
    Object.entries(cell.shards).map(([shardId, shard]) => [shardId, { ...shard, fences: [] }]),
  );
}

function simulate(
  start: Cell,
  policy: AssignmentPolicy,
  loads: CellLoads,
  withdrawn: readonly WithdrawalTarget[] = [],
): SimulationResult {
  let state: SimulationResult = { cell: start, moved: 0, seconds: 0 };
  let budget = createMoveBudget();
  for (let nowMs = 0; nowMs < SIMULATION_MS; nowMs += PLAN_INTERVAL_MS) {
    const moves = planMoves(state.cell, loads, withdrawn, budget, nowMs, policy);
    if (moves.length === 0) continue;
    budget = recordMoves(budget, moves, nowMs);
    const cell = writeCell(completeMoves(state.cell, moves));
    state = { cell, moved: state.moved + moves.length, seconds: nowMs / 1_000 };
  }
  return state;
}

function findImbalance(cell: Cell, loads: CellLoads, excludedId: string): number {
  const values = cell.members
    .filter((member) => member.serverId !== excludedId)
    .map((member) =>
      listOwnedShards(cell, member.serverId).reduce((sum, id) => sum + (loads.shards.get(id) ?? 0), 0),
    );
  return (Math.max(...values) * values.length) / values.reduce((sum, value) => sum + value, 0);
}
