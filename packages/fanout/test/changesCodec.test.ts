import t from 'tap';
import { changesReplyCodec } from '#fanout/ChangesReplyCodec.js';
import type { ChangesReply } from '#fanout/ChangesReply.js';
import { ReadConfirmations } from '#fanout/ReadConfirmations.js';

t.test('reply survives its encoding', (t) => {
  const reply: ChangesReply = {
    ageMs: 12.5,
    updates: [
      {
        type: 'listed',
        collection: 'routes',
        listing: { items: [{ name: 'main', revision: 4, value: { a: [1] } }], unreadable: [], revision: 9 },
      },
      {
        type: 'changed',
        collection: 'servers',
        changes: {
          changes: [
            { item: { name: 'a', revision: 2 ** 52, value: null }, deleted: false },
            { item: { name: 'b', revision: 7, value: undefined }, deleted: true },
          ],
          unreadable: [],
          revision: 2 ** 52,
        },
      },
    ],
  };
  const wire: unknown = JSON.parse(JSON.stringify(changesReplyCodec.encode(reply)));
  t.same(changesReplyCodec.decode(wire).unsafeCoerce(), reply);
  t.end();
});

t.test('malformed reply is not decoded', (t) => {
  for (const value of [undefined, null, {}, { ageMs: null, updates: [] }, { ageMs: 1, updates: [{}] }])
    t.ok(changesReplyCodec.decode(value).isLeft());
  t.end();
});

t.test('age is that of the collection that was confirmed least recently', (t) => {
  // Guards against a reader whose watch of one collection fails while the others work.
  const confirmations = new ReadConfirmations(['a', 'b']);
  confirmations.note('a', 100);
  t.equal(confirmations.ageMs(150), Infinity);
  confirmations.note('b', 40);
  t.equal(confirmations.ageMs(150), 110);
  confirmations.note('b', 20);
  t.equal(confirmations.ageMs(150), 110, 'a late reply to an early call does not make it older');
  t.end();
});
