import { performance } from 'node:perf_hooks';
import type { Cell } from '#assignment/Cell.js';
import type { CellLoads } from '#assignment/CellLoads.js';
import { completeMoves } from '#assignment/CompleteMoves.js';
import { createMoveBudget } from '#assignment/CreateMoveBudget.js';
import { deriveShardLoads } from '#assignment/DeriveShardLoads.js';
import { findParentSlot } from '#assignment/FindParentSlot.js';
import { mergeHotKeys } from '#assignment/MergeHotKeys.js';
import type { Move } from '#assignment/Move.js';
import type { MoveBudget } from '#assignment/MoveBudget.js';
import { emptyLoads } from '#assignment/EmptyLoads.js';
import { planHotKeys } from '#assignment/PlanHotKeys.js';
import { planMoves } from '#assignment/PlanMoves.js';
import { recordMoves } from '#assignment/RecordMoves.js';
import { slotCount } from '#assignment/SlotCount.js';
import { smoothLoads } from '#assignment/SmoothLoads.js';
import { splitHotKeys } from '#assignment/SplitHotKeys.js';
import { createTestCell } from '#load/CreateTestCell.js';
import type { ImbalanceFigures } from '#load/ImbalanceFigures.js';
import { ImbalanceLoad } from '#load/ImbalanceLoad.js';
import type { ImbalanceScenario } from '#load/ImbalanceScenario.js';
import type { ImbalanceVariant } from '#load/ImbalanceVariant.js';

const STEP_MS = 1_000;
/** Initial seconds that are left out, so that the first assignment does not count. */
const WARM_UP_SECONDS = 120;

interface PlannerState {
  readonly cell: Cell;
  readonly budget: MoveBudget;
  readonly slotLoads: CellLoads;
  readonly keyLoads: CellLoads;
}

interface SecondFigures {
  readonly imbalance: number;
  readonly moves: readonly Move[];
  readonly movedLoad: number;
  readonly hotKeyShards: number;
  readonly planMs: number;
}

/** Simulates one variant of the measurement `imbalance`; moves take effect one second after they are planned. */
export function runImbalance(
  scenario: ImbalanceScenario,
  variant: ImbalanceVariant,
  seed: number,
): ImbalanceFigures {
  const load = new ImbalanceLoad(scenario, seed);
  const seconds: SecondFigures[] = []; // eslint-disable-line no-restricted-syntax -- local result
  let run = createRun(scenario, variant);
  for (let second = 0; second < scenario.durationSeconds; second++) {
    const rates = load.ratesAt(second);
    const shardRates = deriveShardLoads(run.cell, rates.slots, rates.keys);
    const sample = load.sample(rates);
    const observed = observe(run, sample, scenario.smoothingMs);
    const startedMs = performance.now();
    const planned = plan(observed, variant, second * STEP_MS);
    seconds.push({
      imbalance: findImbalance(run.cell, shardRates),
      moves: planned.moves,
      movedLoad: planned.moves.reduce((sum, move) => sum + (shardRates.get(move.shardId) ?? 0), 0),
      hotKeyShards: Object.keys(run.cell.shards).length - slotCount,
      planMs: performance.now() - startedMs,
    });
    run = planned.run;
  }
  return summarize(scenario, seconds.slice(WARM_UP_SECONDS));
}

function createRun(scenario: ImbalanceScenario, { policy }: ImbalanceVariant): PlannerState {
  const cell = createTestCell(scenario.members, policy);
  return { cell, budget: createMoveBudget(), slotLoads: emptyLoads, keyLoads: emptyLoads };
}

function observe(
  run: PlannerState,
  sample: ReturnType<ImbalanceLoad['sample']>,
  smoothingMs: number,
): PlannerState {
  const smooth = (previous: CellLoads, shards: ReadonlyMap<string, number>): CellLoads =>
    smoothLoads(previous, { shards, shares: new Map() }, STEP_MS, smoothingMs);
  return {
    ...run,
    slotLoads: smooth(run.slotLoads, sample.slots),
    keyLoads: smooth(run.keyLoads, sample.keys),
  };
}

function plan(
  run: PlannerState,
  { policy, splitsHotKeys }: ImbalanceVariant,
  nowMs: number,
): { readonly run: PlannerState; readonly moves: readonly Move[] } {
  const keyLoads = run.keyLoads.shards;
  const derive = (state: Cell): CellLoads => ({
    shards: deriveShardLoads(state, run.slotLoads.shards, keyLoads),
    shares: new Map(),
  });
  let cell = run.cell;
  let hotKeyMoves: readonly Move[] = [];
  if (splitsHotKeys) {
    const hotKeyPlan = planHotKeys(cell, keyLoads, derive(cell));
    const owners = cell.members.map((member) => member.serverId);
    cell = owners.reduce((state, serverId) => splitHotKeys(state, serverId, hotKeyPlan.splits), cell);
    cell = owners.reduce((state, serverId) => mergeHotKeys(state, serverId, hotKeyPlan.merges), cell);
    hotKeyMoves = hotKeyPlan.moves;
  }
  const moves = [...hotKeyMoves, ...planMoves(cell, derive(cell), [], run.budget, nowMs, policy)];
  const next = { ...completeMoves(cell, moves), version: cell.version + 1 };
  return { run: { ...run, cell: next, budget: recordMoves(run.budget, moves, nowMs) }, moves };
}

function findImbalance(cell: Cell, rates: ReadonlyMap<string, number>): number {
  const loads = new Map(cell.members.map((member) => [member.serverId, 0]));
  for (const [shardId, { owner }] of Object.entries(cell.shards))
    loads.set(owner, (loads.get(owner) ?? 0) + (rates.get(shardId) ?? 0));
  const values = [...loads.values()];
  return (Math.max(...values) * values.length) / values.reduce((sum, value) => sum + value, 0);
}

function summarize(scenario: ImbalanceScenario, seconds: readonly SecondFigures[]): ImbalanceFigures {
  const imbalances = seconds.map((second) => second.imbalance).sort((left, right) => left - right);
  const moves = seconds.flatMap((second) => second.moves);
  const slotMoves = moves.filter((move) => findParentSlot(move.shardId) === undefined).length;
  const minutes = seconds.length / 60;
  const sum = (values: readonly number[]): number => values.reduce((total, value) => total + value, 0);
  return {
    meanImbalance: sum(imbalances) / imbalances.length,
    p95Imbalance: imbalances[Math.floor(imbalances.length * 0.95)] ?? 0,
    maxImbalance: imbalances.at(-1) ?? 0,
    slotMovesPerMinute: slotMoves / minutes,
    hotKeyMovesPerMinute: (moves.length - slotMoves) / minutes,
    keysMovedPercentPerMinute: (100 * slotMoves) / slotCount / minutes,
    loadMovedPercentPerMinute:
      (100 * sum(seconds.map((second) => second.movedLoad))) / scenario.requestsPerSecond / minutes,
    hotKeyShards: Math.max(...seconds.map((second) => second.hotKeyShards)),
    meanPlanMs: sum(seconds.map((second) => second.planMs)) / seconds.length,
  };
}
