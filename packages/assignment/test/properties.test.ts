import fc from 'fast-check';
import t from 'tap';
import { allowsRegion } from '#assignment/AllowsRegion.js';
import type { Cell } from '#assignment/Cell.js';
import { chooseWitnesses } from '#assignment/ChooseWitnesses.js';
import { clearFences } from '#assignment/ClearFences.js';
import { completeMove } from '#assignment/CompleteMove.js';
import { createCell } from '#assignment/CreateCell.js';
import { createMoveBudget } from '#assignment/CreateMoveBudget.js';
import { digestKey } from '#assignment/DigestKey.js';
import { ensurePlacements } from '#assignment/EnsurePlacements.js';
import { findMember } from '#assignment/FindMember.js';
import { findParentSlot } from '#assignment/FindParentSlot.js';
import { findShard } from '#assignment/FindShard.js';
import { mergeHotKeys } from '#assignment/MergeHotKeys.js';
import { formatKeyShardId } from '#assignment/FormatKeyShardId.js';
import { joinCell } from '#assignment/JoinCell.js';
import { listOwnedShards } from '#assignment/ListOwnedShards.js';
import type { Member } from '#assignment/Member.js';
import { planMoves } from '#assignment/PlanMoves.js';
import { planTakeover } from '#assignment/PlanTakeover.js';
import { readPlacement } from '#assignment/ReadPlacement.js';
import { removeMember } from '#assignment/RemoveMember.js';
import { replaceWitnesses } from '#assignment/ReplaceWitnesses.js';
import { setMemberState } from '#assignment/SetMemberState.js';
import { slotOfDigest } from '#assignment/SlotOfDigest.js';
import { splitHotKeys } from '#assignment/SplitHotKeys.js';
import { createFacts } from './CreateFacts.js';

const SEED = Number(process.env.SEED ?? 20261204);
console.log(`seed ${SEED}`);
const PARAMETERS = { seed: SEED, numRuns: 100 };
const SERVERS = ['s1a0', 's1a1', 's1b0', 's1c0', 's2a0', 's2b0', 's2b1', 's3a0'];
const PLACEMENTS = ['*', 'r1+r2'];
/** The first two share a hash slot, so that a row and its slot can have different owners. */
const KEYS = ['key-0', findKeyInSameSlot('key-0'), 'key-1', 'key-2'];

function findKeyInSameSlot(key: string): string {
  const slotOf = (text: string): number => slotOfDigest(digestKey(text));
  let n = 10;
  while (slotOf(`key-${n}`) !== slotOf(key)) n++;
  return `key-${n}`;
}

type Change = 'join' | 'lose' | 'witness' | 'clear' | 'move' | 'split' | 'merge' | 'home' | 'drain' | 'leave';

interface Op {
  readonly change: Change;
  readonly server: string;
  readonly other: string;
  readonly pick: number;
}

const server = fc.constantFrom(...SERVERS);
const op: fc.Arbitrary<Op> = fc.record({
  change: fc.constantFrom<Change>(
    ...([
      'join',
      'join',
      'lose',
      'witness',
      'clear',
      'move',
      'move',
      'split',
      'home',
      'merge',
      'drain',
      'leave',
    ] as const),
  ),
  server,
  other: server,
  pick: fc.nat(1_000),
});
const ops = fc.array(op, { minLength: 5, maxLength: 60 });

function apply(cell: Cell, { change, server, other, pick }: Op): Cell {
  const placement = PLACEMENTS[pick % 2] ?? '*';
  const key = KEYS[pick % KEYS.length] ?? '';
  const row = formatKeyShardId(placement, key);
  const { shardId, shard } = findShard(cell, placement, key)!;
  const parent = cell.shards[findParentSlot(row) ?? '']!;
  // Most moves are requested by the owner; others must be refused.
  const from = pick % 5 === 0 ? server : shard.owner;
  const everyone = cell.members.map((member) => member.serverId);
  const ids = cell.fences.map((fence) => fence.id);
  const clear = (state: Cell, id: string): Cell => clearFences(state, id, ids);
  const changes: Readonly<Record<Change, () => Cell>> = {
    join: () => joinCell(cell, createFacts(server)),
    lose: () => planTakeover(cell, pick % 3 === 0 ? [server, other] : [server]),
    witness: () => replaceWitnesses(cell, server, [other]),
    clear: () => (pick % 2 === 0 ? everyone : [server]).reduce(clear, cell),
    move: () => completeMove(cell, shardId, from, other).orDefault(cell),
    home: () => completeMove(cell, row, from, parent.owner).orDefault(cell),
    split: () => splitHotKeys(cell, parent.owner, [row]),
    merge: () => mergeHotKeys(cell, shard.owner, [row]),
    drain: () => setMemberState(cell, [server], pick % 2 === 0 ? 'draining' : 'active'),
    leave: () => removeMember(cell, server).orDefault(cell),
  };
  return changes[change]();
}

/** Whether a change is a move by the owner of the shard; no other server may move it. */
function isOwnMove({ change, server, pick }: Op, owner: string): boolean {
  return (change === 'move' || change === 'home') && (pick % 5 !== 0 || server === owner);
}

/** Calls `check` with the cell before and after each change of generated histories. */
function checkSteps(check: (before: Cell, after: Cell, op: Op) => void): void {
  fc.assert(
    fc.property(ops, (list) => {
      const empty = ensurePlacements(createCell('permits', 0), PLACEMENTS);
      const joined = SERVERS.slice(0, 5).reduce((state, id) => joinCell(state, createFacts(id)), empty);
      let cell: Cell = { ...joined, version: 1 };
      for (const step of list) {
        const after = { ...apply(cell, step), version: cell.version + 1 };
        check(cell, after, step);
        cell = after;
      }
    }),
    PARAMETERS,
  );
}

function assert(condition: boolean, message: string): void {
  if (!condition) throw new Error(message);
}

const eachKey = (run: (placement: string, key: string) => void): void =>
  PLACEMENTS.forEach((placement) => KEYS.forEach((key) => run(placement, key)));

t.test('a key changes its owner only by a move of the owner or with a fence for its grant', (t) => {
  checkSteps((before, after, op) =>
    eachKey((placement, key) => {
      const old = findShard(before, placement, key)!.shard;
      const now = findShard(after, placement, key)!.shard;
      if (old.owner === '' || old.owner === now.owner) return;
      const epoch = findMember(before, old.owner)!.epoch;
      const fenced = after.fences.some(
        (fence) => now.fences.includes(fence.id) && fence.serverId === old.owner && fence.epoch === epoch,
      );
      assert(fenced || isOwnMove(op, old.owner), `${key} passed from ${old.owner}`);
    }),
  );
  t.end();
});

t.test('a fence stays with a key until its owner clears it', (t) => {
  checkSteps((before, after, { change, server, pick }) =>
    eachKey((placement, key) => {
      const old = findShard(before, placement, key)!.shard;
      const now = findShard(after, placement, key)!.shard;
      const isCleared = change === 'clear' && (pick % 2 === 0 || server === old.owner);
      const missing = old.fences.filter((id) => !now.fences.includes(id));
      assert(missing.length === 0 || isCleared, `${key} lost fences ${missing.join()}`);
      assert(
        now.fences.every((id) => after.fences.some((fence) => fence.id === id)),
        'a fence is unknown',
      );
    }),
  );
  t.end();
});

t.test('a new grant of a server that owns shards is fenced from the old one', (t) => {
  checkSteps((before, after, { change, server }) => {
    const old = findMember(before, server);
    if (change !== 'join' || old === undefined) return;
    for (const shardId of listOwnedShards(before, server)) {
      const fences = after.fences.filter((fence) => after.shards[shardId]!.fences.includes(fence.id));
      assert(
        fences.some((fence) => fence.serverId === server && fence.epoch === old.epoch),
        shardId,
      );
      assert(after.shards[shardId]!.token === after.version, 'the token was kept');
    }
  });
  t.end();
});

t.test('tokens and epochs never decrease', (t) => {
  const epochs = new Map<string, number>();
  checkSteps((before, after) => {
    if (before.version === 1) epochs.clear();
    eachKey((placement, key) => {
      const old = findShard(before, placement, key)!.shard;
      const now = findShard(after, placement, key)!.shard;
      assert(now.token >= old.token && now.token <= after.version, `token ${now.token} after ${old.token}`);
      assert(now.owner === old.owner || now.token > old.token, 'a new owner has the old token');
    });
    for (const { serverId, epoch } of after.members) {
      assert(epoch >= (epochs.get(serverId) ?? 0), `epoch of ${serverId} went back`);
      epochs.set(serverId, epoch);
    }
  });
  t.end();
});

t.test('owners are live members in the regions of the placement', (t) => {
  checkSteps((_, after) => {
    for (const [shardId, { owner }] of Object.entries(after.shards)) {
      if (owner === '') continue;
      const member = findMember(after, owner);
      assert(member !== undefined && member.state !== 'gone', `${owner} owns ${shardId}`);
      assert(allowsRegion(readPlacement(shardId), member!.region), `${shardId} in ${member!.region}`);
    }
  });
  t.end();
});

t.test('a takeover or join moves no shard of another live member', (t) => {
  checkSteps((before, after, { change, server, other, pick }) => {
    if (change !== 'lose' && change !== 'join') return;
    const lost = change === 'lose' ? [server, ...(pick % 3 === 0 ? [other] : [])] : [];
    for (const [shardId, shard] of Object.entries(before.shards))
      if (shard.owner !== '' && !lost.includes(shard.owner))
        assert(after.shards[shardId]!.owner === shard.owner, `${shardId} was moved`);
  });
  t.end();
});

t.test('a takeover leaves the cell balanced', (t) => {
  fc.assert(
    fc.property(fc.shuffledSubarray(SERVERS, { minLength: 3 }), fc.nat(), (ids, pick) => {
      const joined = ids.reduce((cell, id) => joinCell(cell, createFacts(id)), createCell('permits', 0));
      const cell = ensurePlacements(joined, ['*']);
      const after = planTakeover(cell, [ids[pick % ids.length]!]);
      const live = after.members.filter((member) => member.state === 'active');
      const counts = live.map((member) => listOwnedShards(after, member.serverId).length);
      // If failure domains differ in size, the members of a larger domain get fewer shards than the mean.
      assert(Math.max(...counts) <= 1.25 * (128 / live.length) + 1, `counts ${counts.join()}`);
      assert(
        planMoves(after, { shards: new Map(), shares: new Map() }, [], createMoveBudget(), 0).length <= 8,
        'moves',
      );
    }),
    PARAMETERS,
  );
  t.end();
});

t.test('witnesses are in the region and follow the domain rule', (t) => {
  fc.assert(
    fc.property(
      fc.uniqueArray(fc.tuple(fc.constantFrom('1', '2'), fc.constantFrom('a', 'b', 'c', 'd'), fc.nat(3)), {
        minLength: 1,
        maxLength: 20,
        selector: (parts) => parts.join(''),
      }),
      (parts) => {
        const ids = parts.map((part) => `s${part.join('')}`);
        const cell = ids.reduce((state, id) => joinCell(state, createFacts(id)), createCell('permits', 0));
        for (const holder of cell.members) checkWitnesses(cell, holder);
      },
    ),
    { ...PARAMETERS, numRuns: 300 },
  );
  t.end();
});

function checkWitnesses(cell: Cell, holder: Member): void {
  const near = cell.members.filter((one) => one.region === holder.region && one !== holder);
  const own = near.filter((one) => one.failureDomain === holder.failureDomain);
  const foreign = near.filter((one) => one.failureDomain !== holder.failureDomain);
  const domains = new Set(foreign.map((one) => one.failureDomain)).size;
  const chosen = chooseWitnesses(cell, holder.serverId).map((id) => near.find((one) => one.serverId === id));
  assert(
    chosen.every((one) => one !== undefined),
    'a witness is in another region or the holder itself',
  );
  assert(new Set(chosen).size === chosen.length && chosen.length === Math.min(3, near.length), 'count');
  const outside = chosen.filter((one) => one!.failureDomain !== holder.failureDomain);
  const distinct = new Set(outside.map((one) => one!.failureDomain)).size;
  assert(outside.length >= Math.min(2, foreign.length), 'fewer than two outside the own domain');
  assert(distinct === Math.min(3, domains), `${distinct} of ${domains} domains are used`);
  if (domains < 3 && own.length > 0) assert(outside.length <= 2, 'the third is not in the own domain');
}
