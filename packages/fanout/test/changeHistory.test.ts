import t from 'tap';
import { ChangeHistory } from '#fanout/ChangeHistory.js';
import type { CollectionChange } from '#store/CollectionChange.js';
import type { CollectionUpdate } from '#fanout/CollectionUpdate.js';

function write(name: string, revision: number, value: unknown = revision): CollectionChange {
  return { item: { name, revision, value }, deleted: false };
}

function list(history: ChangeHistory, revision: number, changes: readonly CollectionChange[]): void {
  history.noteListing({ items: changes.map(({ item }) => item), unreadable: [], revision });
}

function note(history: ChangeHistory, revision: number, changes: readonly CollectionChange[]): void {
  history.noteChanges({ changes, unreadable: [], revision });
}

function describe(update: CollectionUpdate | undefined): unknown {
  if (update === undefined) return undefined;
  if (update.type === 'listed') return { listed: update.listing.items.map(({ name }) => name) };
  return update.changes.changes.map(({ item, deleted }) => `${item.name}${deleted ? '-' : item.revision}`);
}

t.test('follower gets what follows its position', (t) => {
  const history = new ChangeHistory('servers');
  list(history, 10, [write('a', 3), write('b', 8)]);
  note(history, 12, [write('a', 12)]);
  note(history, 15, [write('c', 14), write('a', 15)]);
  t.same(describe(history.readAfter(10)), ['c14', 'a15'], 'only the last change of an object is sent');
  t.same(describe(history.readAfter(12)), ['c14', 'a15']);
  t.equal(history.readAfter(15), undefined);
  t.equal(history.readAfter(99), undefined, 'a follower that is ahead gets nothing');
  t.end();
});

t.test('position before the first listing gets a listing', (t) => {
  // Guards against a follower that keeps an object whose deletion the reader never saw.
  const history = new ChangeHistory('servers');
  t.equal(history.readAfter(0), undefined, 'nothing is known before the first listing');
  list(history, 10, [write('a', 3)]);
  t.same(describe(history.readAfter(9)), { listed: ['a'] });
  t.equal(history.readAfter(10), undefined);
  t.end();
});

t.test('deletion that a listing reveals is passed on', (t) => {
  const history = new ChangeHistory('evacuations');
  list(history, 10, [write('a', 3), write('b', 4)]);
  list(history, 20, [write('b', 4)]);
  t.same(describe(history.readAfter(15)), ['a-']);
  t.equal(history.readAfter(20), undefined);
  t.end();
});

t.test('deletion with the revision of the last write is passed on', (t) => {
  // Guards against a store whose deletions keep the revision that the object had.
  const history = new ChangeHistory('evacuations');
  list(history, 10, [write('a', 3)]);
  note(history, 12, [{ item: { name: 'a', revision: 3, value: undefined }, deleted: true }]);
  t.same(describe(history.readAfter(10)), ['a-']);
  t.end();
});

t.test('object that can no longer be read is not deleted', (t) => {
  const history = new ChangeHistory('servers');
  list(history, 10, [write('a', 3)]);
  history.noteListing({ items: [], unreadable: [{ name: 'a', message: 'odd' }], revision: 20 });
  t.equal(history.readAfter(10), undefined);
  t.end();
});

t.test('earlier listing changes nothing', (t) => {
  // Guards against a listing that was answered from outdated data.
  const history = new ChangeHistory('routes');
  list(history, 10, [write('main', 9)]);
  note(history, 12, [write('main', 12)]);
  list(history, 11, [write('main', 9)]);
  t.same(describe(history.readAfter(10)), ['main12']);
  t.end();
});

t.test('history stays bounded', (t) => {
  // Guards against deletions that are kept without end.
  const history = new ChangeHistory('servers');
  list(history, 1, [write('kept', 1)]);
  for (let revision = 2; revision <= 5_001; revision += 2) {
    note(history, revision, [write(`s${revision}`, revision)]);
    note(history, revision + 1, [
      { item: { name: `s${revision}`, revision: revision + 1, value: undefined }, deleted: true },
    ]);
  }
  t.same(describe(history.readAfter(1)), { listed: ['kept'] }, 'an early position needs a listing');
  const update = history.readAfter(3_100);
  t.equal(update?.type, 'changed');
  t.ok(update?.type === 'changed' && update.changes.changes.length <= 1_000);
  t.end();
});
