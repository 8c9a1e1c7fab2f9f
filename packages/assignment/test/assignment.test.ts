import t from 'tap';
import type { Cell } from '#assignment/Cell.js';
import { chooseWitnesses } from '#assignment/ChooseWitnesses.js';
import { clearFences } from '#assignment/ClearFences.js';
import { completeMove } from '#assignment/CompleteMove.js';
import { createCell } from '#assignment/CreateCell.js';
import { ensurePlacements } from '#assignment/EnsurePlacements.js';
import { findMember } from '#assignment/FindMember.js';
import { findShard } from '#assignment/FindShard.js';
import { mergeHotKeys } from '#assignment/MergeHotKeys.js';
import { formatKeyShardId } from '#assignment/FormatKeyShardId.js';
import { formatPlacement } from '#assignment/FormatPlacement.js';
import { joinCell } from '#assignment/JoinCell.js';
import { listOwnedShards } from '#assignment/ListOwnedShards.js';
import { planTakeover } from '#assignment/PlanTakeover.js';
import { removeMember } from '#assignment/RemoveMember.js';
import { replaceWitnesses } from '#assignment/ReplaceWitnesses.js';
import { splitHotKeys } from '#assignment/SplitHotKeys.js';
import { createFacts } from './CreateFacts.js';

const write = (cell: Cell): Cell => ({ ...cell, version: cell.version + 1 });
const join = (cell: Cell, ...ids: readonly string[]): Cell =>
  ids.reduce((state, id) => write(joinCell(state, createFacts(id), { graceMs: 70 })), cell);
const SIX = ['s1a0', 's1b0', 's2a0', 's2b0', 's3a0', 's3b0'];
const full = (): Cell => write(ensurePlacements(join(createCell('permits', 0), ...SIX), ['*', 'r1']));

t.test('placements do not depend on the order of regions', (t) => {
  t.equal(formatPlacement(['b', 'a', 'b']), 'a+b');
  t.equal(formatPlacement([]), '*');
  t.end();
});

t.test('a placement is owned in its regions only', (t) => {
  const cell = full();
  const owners = new Set(
    Object.keys(cell.shards)
      .filter((id) => id.startsWith('r1/'))
      .map((id) => cell.shards[id]!.owner),
  );
  t.same([...owners].sort(), ['s1a0', 's1b0']);
  t.end();
});

t.test('keys of one cell of many use all slots', (t) => {
  const cell = full();
  const found = new Set<string>();
  for (let n = 0; n < 4_000; n++) found.add(findShard(cell, '*', `key-${n}`)!.shardId);
  t.equal(found.size, 128);
  t.equal(findShard(cell, 'r9', 'key-1'), undefined);
  t.end();
});

t.test('a restarted server waits for its own old grant', (t) => {
  const cell = full();
  const again = joinCell(cell, { ...createFacts('s1a0'), incarnation: 'second' }, { graceMs: 70 });
  const old = findMember(cell, 's1a0')!;
  t.equal(findMember(again, 's1a0')!.epoch, old.epoch + 1);
  t.equal(again.fences.length, 1);
  t.match(again.fences[0], { serverId: 's1a0', epoch: old.epoch, witnesses: old.witnesses, graceMs: 70 });
  for (const id of listOwnedShards(again, 's1a0'))
    t.match(again.shards[id], { token: cell.version + 1, fences: [again.fences[0]!.id] });
  t.same(listOwnedShards(again, 's1a0'), listOwnedShards(cell, 's1a0'));
  t.end();
});

t.test('a server that was dropped comes back with a higher epoch', (t) => {
  const cell = full();
  const taken = write(planTakeover(cell, ['s1a0']));
  const ids = taken.fences.map((fence) => fence.id);
  const forget = (state: Cell, id: string): Cell =>
    replaceWitnesses(clearFences(state, id, ids), id, ['s1a0']);
  const dropped = write(SIX.slice(1).reduce(forget, taken));
  t.equal(findMember(dropped, 's1a0'), undefined);
  t.ok(findMember(joinCell(dropped, createFacts('s1a0')), 's1a0')!.epoch > findMember(cell, 's1a0')!.epoch);
  t.end();
});

t.test('a merged row leaves its fences to its slot', (t) => {
  const cell = full();
  const key = 'stall-7';
  const row = formatKeyShardId('*', key);
  const { shardId: slot, shard } = findShard(cell, '*', key)!;
  const other = SIX.find((id) => id !== shard.owner)!;
  const split = write(splitHotKeys(cell, shard.owner, [row]));
  const moved = write(completeMove(split, row, shard.owner, other).orDefault(split));
  const taken = write(planTakeover(moved, [other]));
  const home = write(completeMove(taken, row, taken.shards[row]!.owner, shard.owner).orDefault(taken));
  t.equal(home.shards[row]!.fences.length, 1);
  t.same(mergeHotKeys(home, shard.owner, [row]).shards[slot]!.fences, home.shards[row]!.fences);
  t.equal(mergeHotKeys(moved, other, [row]), moved);
  t.end();
});

t.test('a cell refuses a 65th member, but not the return of a known one', (t) => {
  const ids = Array.from({ length: 64 }, (_, n) => `s${n % 3}a${n}`);
  const cell = join(createCell('x', 0), ...ids);
  t.throws(() => joinCell(cell, createFacts('s1b0')), /64 members/);
  t.doesNotThrow(() => joinCell(cell, createFacts(ids[0]!)));
  t.doesNotThrow(() => joinCell(planTakeover(cell, [ids[1]!]), createFacts('s1b0')));
  t.end();
});

t.test('a takeover keeps a fence until each new owner cleared it', (t) => {
  const cell = full();
  const taken = write(planTakeover(cell, ['s1a0', 's2a0'], { graceMs: 70 }));
  t.equal(taken.fences.length, 2);
  t.same(listOwnedShards(taken, 's1a0'), []);
  const ids = taken.fences.map((fence) => fence.id);
  const rest = ['s1b0', 's2b0', 's3a0', 's3b0'];
  const partly = clearFences(taken, rest[0]!, ids);
  t.equal(partly.fences.length, 2);
  const cleared = rest.reduce((state, id) => clearFences(state, id, ids), taken);
  t.equal(cleared.fences.length, 0);
  const replaced = rest.reduce((state, id) => replaceWitnesses(state, id, ['s1a0', 's2a0']), cleared);
  t.equal(replaced.members.length, 4);
  t.equal(planTakeover(taken, ['s1a0']), taken);
  t.end();
});

t.test('shards without a live member are assigned at the next join', (t) => {
  const lost = write(planTakeover(full(), ['s1a0', 's1b0']));
  t.equal(lost.shards['r1/0']!.owner, '');
  const back = joinCell(lost, createFacts('s1b0'));
  t.equal(back.shards['r1/0']!.owner, 's1b0');
  t.same(back.shards['r1/0']!.fences, lost.shards['r1/0']!.fences);
  t.end();
});

t.test('only the owner can move a shard', (t) => {
  const cell = full();
  const owner = cell.shards['r1/0']!.owner;
  const other = owner === 's1a0' ? 's1b0' : 's1a0';
  t.match(completeMove(cell, 'r1/0', other, owner).extract(), { fields: { code: 'notOwner' } });
  t.match(completeMove(cell, 'r1/0', owner, 's2a0').extract(), { fields: { code: 'badTarget' } });
  t.match(completeMove(cell, 'r1/0', owner, other).extract(), {
    shards: { 'r1/0': { owner: other, token: cell.version + 1 } },
  });
  t.ok(removeMember(cell, owner).isLeft());
  t.end();
});

t.test('the token of a key does not decrease when its row is merged', (t) => {
  const cell = full();
  const key = 'stall-7';
  const row = formatKeyShardId('*', key);
  const before = findShard(cell, '*', key)!;
  t.equal(splitHotKeys(cell, 'nobody', [row]), cell);
  const split = write(splitHotKeys(cell, before.shard.owner, [row]));
  t.match(findShard(split, '*', key), {
    shardId: row,
    shard: { owner: before.shard.owner, token: split.version },
  });
  const merged = write(mergeHotKeys(split, before.shard.owner, [row]));
  t.match(findShard(merged, '*', key), { shardId: before.shardId, shard: { token: merged.version } });
  t.end();
});

t.test('with two domains in a region the third witness is in the own one', (t) => {
  const cell = join(createCell('x', 0), 's1a0', 's1a1', 's1a2', 's1b0', 's1b1', 's1b2');
  const domains = chooseWitnesses(cell, 's1a0').map((id) => id.slice(1, 3));
  t.same(domains, ['1b', '1b', '1a']);
  t.end();
});

t.test('with four domains in a region all witnesses are in other domains', (t) => {
  const cell = join(createCell('x', 0), 's1a0', 's1a1', 's1b0', 's1b1', 's1c0', 's1d0', 's2a0');
  const domains = chooseWitnesses(cell, 's1a0').map((id) => id.slice(1, 3));
  t.same([...domains].sort(), ['1b', '1c', '1d']);
  t.notOk(chooseWitnesses(cell, 's1a0', [], ['s1c0']).slice(0, 2).includes('s1c0'));
  t.end();
});

t.test('witnesses of a small cell come from other services', (t) => {
  const cell = full();
  const peers = join(createCell('y', 0), 's1a7', 's1b7', 's1b8').members;
  t.equal(chooseWitnesses(cell, 's1a0').length, 1);
  t.equal(chooseWitnesses(cell, 's1a0', peers).length, 3);
  const better = replaceWitnesses(cell, 's1a0', [], peers);
  t.equal(findMember(better, 's1a0')!.epoch, findMember(cell, 's1a0')!.epoch + 1);
  t.equal(replaceWitnesses(better, 's1a0', [], peers), better);
  t.end();
});
