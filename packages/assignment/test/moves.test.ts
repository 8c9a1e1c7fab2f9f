import t from 'tap';
import type { AssignmentPolicy } from '#assignment/AssignmentPolicy.js';
import type { Cell } from '#assignment/Cell.js';
import type { CellLoads } from '#assignment/CellLoads.js';
import { completeMoves } from '#assignment/CompleteMoves.js';
import { createCell } from '#assignment/CreateCell.js';
import { createMoveBudget } from '#assignment/CreateMoveBudget.js';
import { deriveShardLoads } from '#assignment/DeriveShardLoads.js';
import { ensurePlacements } from '#assignment/EnsurePlacements.js';
import { findParentSlot } from '#assignment/FindParentSlot.js';
import { formatKeyShardId } from '#assignment/FormatKeyShardId.js';
import { GreedyPolicy } from '#assignment/GreedyPolicy.js';
import { joinCell } from '#assignment/JoinCell.js';
import { listOwnedShards } from '#assignment/ListOwnedShards.js';
import type { Move } from '#assignment/Move.js';
import { emptyLoads } from '#assignment/EmptyLoads.js';
import { planHotKeys } from '#assignment/PlanHotKeys.js';
import { planMoves } from '#assignment/PlanMoves.js';
import { planTakeover } from '#assignment/PlanTakeover.js';
import { recordMoves } from '#assignment/RecordMoves.js';
import { RendezvousPolicy } from '#assignment/RendezvousPolicy.js';
import { setMemberState } from '#assignment/SetMemberState.js';
import { smoothLoads } from '#assignment/SmoothLoads.js';
import { splitHotKeys } from '#assignment/SplitHotKeys.js';
import type { WithdrawalTarget } from '#assignment/WithdrawalTarget.js';
import { createFacts } from './CreateFacts.js';

const SIX = ['s1a0', 's1b0', 's2a0', 's2b0', 's3a0', 's3b0'];
const STEP_MS = 500;

const write = (cell: Cell): Cell => ({ ...cell, version: cell.version + 1 });
const join = (cell: Cell, ...ids: readonly string[]): Cell =>
  ids.reduce((state, id) => write(joinCell(state, createFacts(id))), cell);
const full = (ids = SIX): Cell => write(ensurePlacements(join(createCell('permits', 0), ...ids), ['*']));

interface Run {
  readonly cell: Cell;
  readonly moves: readonly (Move & { readonly atMs: number })[];
}

/** Plans moves every half second and completes them at once. */
function run(
  cell: Cell,
  durationMs: number,
  loadsAt: (nowMs: number) => CellLoads = () => emptyLoads,
  withdrawn: readonly WithdrawalTarget[] = [],
  policy?: AssignmentPolicy,
): Run {
  let state: Run = { cell, moves: [] };
  let budget = createMoveBudget();
  for (let nowMs = 0; nowMs < durationMs; nowMs += STEP_MS) {
    const moves = planMoves(state.cell, loadsAt(nowMs), withdrawn, budget, nowMs, policy);
    budget = recordMoves(budget, moves, nowMs);
    const timed = moves.map((move) => ({ ...move, atMs: nowMs }));
    state = { cell: write(completeMoves(state.cell, moves)), moves: [...state.moves, ...timed] };
  }
  return state;
}

const countOwned = (cell: Cell): readonly number[] =>
  cell.members.map((member) => listOwnedShards(cell, member.serverId).length);

t.test('a balanced cell stays as it is', (t) => {
  t.equal(run(full(), 60_000).moves.length, 0);
  t.end();
});

t.test('a join moves only what balance needs, all of it to the new member', (t) => {
  for (let size = 2; size <= 6; size++) {
    const ids = SIX.slice(0, size);
    const { cell, moves } = run(join(full(ids.slice(0, -1)), ids.at(-1) ?? ''), 600_000);
    t.ok(moves.every((move) => move.to === ids.at(-1)));
    t.ok(moves.length <= Math.ceil(128 / size), `${moves.length} moves for ${size} members`);
    t.ok(Math.max(...countOwned(cell)) - Math.min(...countOwned(cell)) <= 0.15 * (128 / size) + 1);
  }
  t.end();
});

t.test('a new member is filled when load is skewed', (t) => {
  const cell = join(full(SIX.slice(0, 5)), 's3b0');
  // Ten slots carry a large part of the load, so that all others weigh far less than the mean slot.
  const shards = new Map(Object.keys(cell.shards).map((id, slot) => [id, slot % 13 === 0 ? 40 : 4]));
  const { cell: filled } = run(cell, 300_000, () => ({ shards, shares: new Map() }));
  const loads = SIX.map((id) =>
    listOwnedShards(filled, id).reduce((sum, one) => sum + (shards.get(one) ?? 0), 0),
  );
  t.ok(
    Math.max(...loads) - Math.min(...loads) <= 0.3 * (loads.reduce((sum, load) => sum + load, 0) / 6),
    loads.join(),
  );
  t.end();
});

t.test('a failure domain that returns fills by doubling', (t) => {
  const ids = [...SIX, 's4a0', 's4a1', 's4a2', 's4a3'];
  const withdrawn: readonly WithdrawalTarget[] = [{ kind: 'failureDomain', name: 'd4a' }];
  const { cell } = run(full(ids), 10_000, undefined, withdrawn);
  const { moves } = run(cell, 30_000);
  const countIn = (fromMs: number): number =>
    moves.filter((move) => move.to.startsWith('s4a') && move.atMs >= fromMs && move.atMs < fromMs + 10_000)
      .length;
  t.ok(countIn(0) > 0 && countIn(0) <= 8, `${countIn(0)} moves`);
  t.ok(countIn(10_000) <= 8 && countIn(20_000) <= 16);
  t.end();
});

t.test('a new member fills slowly at first', (t) => {
  const { moves } = run(join(full(SIX.slice(0, 5)), 's3b0'), 60_000);
  t.equal(moves.filter((move) => move.atMs < 10_000).length, 4);
  t.end();
});

t.test('a loss causes no moves besides the takeover', (t) => {
  const lost = write(planTakeover(full(), ['s2a0']));
  t.equal(run(lost, 60_000).moves.length, 0);
  t.end();
});

t.test('a draining member is empty within 3.5 s at an even rate', (t) => {
  const { cell, moves } = run(setMemberState(full(), ['s1a0'], 'draining'), 3_500);
  t.same(listOwnedShards(cell, 's1a0'), []);
  t.ok(moves.every((move) => move.reason === 'drain' && move.from === 's1a0'));
  t.ok(moves.filter((move) => move.atMs < 1_000).length <= 8);
  t.end();
});

t.test('a withdrawn failure domain is empty within 4 s and receives nothing', (t) => {
  const cell = full([...SIX, 's1a1', 's1a2', 's1a3']);
  const { cell: left, moves } = run(cell, 4_000, undefined, [{ kind: 'failureDomain', name: 'd1a' }]);
  t.ok(moves.every((move) => !move.to.startsWith('s1a')));
  for (const id of ['s1a0', 's1a1', 's1a2', 's1a3']) t.same(listOwnedShards(left, id), []);
  t.end();
});

t.test('a drain also empties a member that owns everything', (t) => {
  const cell = join(full(['s1a0']), 's1b0', 's2a0');
  const { cell: left } = run(setMemberState(cell, ['s1a0'], 'draining'), 4_000);
  t.same(listOwnedShards(left, 's1a0'), []);
  t.end();
});

t.test('a shard whose owner waits for a fence stays where it is', (t) => {
  const loads: CellLoads = { shards: new Map([['*/0', 100]]), shares: new Map() };
  const taken = write(planTakeover(full(), SIX.slice(0, 4)));
  t.ok(
    run(join(taken, 's1a9'), 5_000, () => loads).moves.every(
      ({ shardId }) => taken.shards[shardId]!.fences.length === 0,
    ),
  );
  t.end();
});

t.test('moves that were begun over a minute ago do not count', (t) => {
  const cell = join(full(SIX.slice(0, 5)), 's3b0');
  const old = Array.from({ length: 60 }, (_, slot): Move => ({
    shardId: `*/${slot}`,
    from: 'a',
    to: 's3b0',
    reason: 'balance',
  }));
  const budget = recordMoves(createMoveBudget(), old, 0);
  t.equal(planMoves(cell, emptyLoads, [], budget, 59_000).length, 0);
  t.equal(planMoves(cell, emptyLoads, [], budget, 61_000).length, 4);
  t.end();
});

t.test('a member in a cold start receives less of a takeover', (t) => {
  const loads: CellLoads = { shards: new Map(), shares: new Map([['s1b0', 1 / 6]]) };
  const before = full();
  const lost = planTakeover(before, ['s1a0'], { loads });
  t.equal(listOwnedShards(lost, 's1b0').length, listOwnedShards(before, 's1b0').length);
  t.end();
});

t.test('a load that swings every 5 s does not keep shards moving', (t) => {
  const cell = full();
  const [first = '', second = ''] = SIX.map((id) => listOwnedShards(cell, id)[0]);
  const sampleAt = (nowMs: number): CellLoads => {
    const hot = Math.floor(nowMs / 5_000) % 2 === 0 ? first : second;
    return {
      shards: new Map(Object.keys(cell.shards).map((id) => [id, id === hot ? 30 : 1])),
      shares: new Map(),
    };
  };
  const start = sampleAt(0);
  const smoothed = (): ((nowMs: number) => CellLoads) => {
    let loads = start;
    return (nowMs) => (loads = smoothLoads(loads, sampleAt(nowMs), STEP_MS, 20_000));
  };
  const chosen = run(cell, 240_000, smoothed()).moves;
  const greedy = run(cell, 240_000, smoothed(), [], new GreedyPolicy()).moves;
  t.equal(chosen.filter((move) => move.atMs > 120_000).length, 0);
  t.ok(chosen.length < greedy.length / 2, `${chosen.length} moves against ${greedy.length}`);
  t.end();
});

t.test('the rendezvous policy moves only the shards of a lost member', (t) => {
  const policy = new RendezvousPolicy();
  const { cell } = run(full(), 1_000, undefined, [], policy);
  t.same(run(write(planTakeover(cell, ['s1a0'], { policy })), 1_000, undefined, [], policy).moves, []);
  t.end();
});

t.test('the load of a row is not also counted in its slot', (t) => {
  const cell = full();
  const row = formatKeyShardId('*', 'stall-7');
  const slot = findParentSlot(row) ?? '';
  const split = splitHotKeys(cell, cell.shards[slot]!.owner, [row]);
  const derive = (state: Cell): ReadonlyMap<string, number> =>
    deriveShardLoads(state, new Map([[slot, 50]]), new Map([[row, 40]]));
  t.same([...derive(cell)], [[slot, 50]]);
  t.same(
    [...derive(split)],
    [
      [slot, 10],
      [row, 40],
    ],
  );
  t.end();
});

t.test('a hot key gets a row, and a cold row returns to its slot', (t) => {
  const cell = full();
  const row = formatKeyShardId('*', 'stall-7');
  const loads: CellLoads = {
    shards: new Map(Object.keys(cell.shards).map((id) => [id, 10])),
    shares: new Map(),
  };
  const hot = planHotKeys(
    cell,
    new Map([
      [row, 50],
      [formatKeyShardId('*', 'stall-8'), 2],
    ]),
    loads,
  );
  t.same(hot, { splits: [row], merges: [], moves: [] });
  const owner = SIX.find((id) => splitHotKeys(cell, id, [row]) !== cell) ?? '';
  const split = write(splitHotKeys(cell, owner, [row]));
  t.same(planHotKeys(split, new Map([[row, 4]]), loads), { splits: [], merges: [], moves: [] });
  t.same(planHotKeys(split, new Map(), loads), { splits: [], merges: [row], moves: [] });
  const other = SIX.find((id) => id !== owner) ?? '';
  const away = completeMoves(split, [{ shardId: row, from: owner, to: other, reason: 'balance' }]);
  t.same(planHotKeys(away, new Map(), loads).moves, [
    { shardId: row, from: other, to: owner, reason: 'home' },
  ]);
  t.end();
});
