import { Codec, unknown } from 'purify-ts';
import { createChoiceCodec } from '#codec/CreateChoiceCodec.js';
import { createListCodec } from '#codec/CreateListCodec.js';
import { createObjectCodec } from '#codec/CreateObjectCodec.js';
import { createTextCodec } from '#codec/CreateTextCodec.js';
import { flagCodec } from '#codec/FlagCodec.js';
import { idCodec } from '#codec/IdCodec.js';
import { measureCodec } from '#codec/MeasureCodec.js';
import { ordinalCodec } from '#codec/OrdinalCodec.js';
import type { ChangesReply } from '#fanout/ChangesReply.js';
import type { CollectionUpdate } from '#fanout/CollectionUpdate.js';

const MAX_COLLECTIONS = 16;

/** Limit of objects in one reply; the limit of its size is reached first. */
const MAX_OBJECTS = 1_000_000;

/** Limit of a name's length. The store's limit is lower; a longer name must not fail the whole reply. */
const MAX_NAME_LENGTH = 1_000_000;

const nameCodec = createTextCodec(0, MAX_NAME_LENGTH);

const objectCodec = createObjectCodec({
  name: nameCodec,
  revision: ordinalCodec,
  deleted: flagCodec,
  value: unknown,
});

const wireCodec = createObjectCodec({
  ageMs: measureCodec,
  updates: createListCodec(
    createObjectCodec({
      collection: idCodec,
      type: createChoiceCodec(['listed', 'changed']),
      revision: ordinalCodec,
      objects: createListCodec(objectCodec, MAX_OBJECTS),
      unreadable: createListCodec(nameCodec, MAX_OBJECTS),
    }),
    MAX_COLLECTIONS,
  ),
});

type WireReply = typeof wireCodec extends Codec<infer T> ? T : never;
type WireUpdate = WireReply['updates'][number];

/** Encodes and decodes the result of the RPC method `changes`. */
export const changesReplyCodec: Codec<ChangesReply> = Codec.custom<ChangesReply>({
  decode: (value) =>
    wireCodec.decode(value).map(({ ageMs, updates }) => ({ ageMs, updates: updates.map(decodeUpdate) })),
  encode: ({ ageMs, updates }): WireReply => ({ ageMs, updates: updates.map(encodeUpdate) }),
});

function encodeUpdate(update: CollectionUpdate): WireUpdate {
  const { type, collection } = update;
  if (type === 'listed') {
    const { items, unreadable, revision } = update.listing;
    return {
      type,
      collection,
      revision,
      objects: items.map((item) => ({ ...item, deleted: false })),
      unreadable: unreadable.map(({ name }) => name),
    };
  }
  const { changes, revision } = update.changes;
  const objects = changes.map(({ item, deleted }) => ({ ...item, deleted }));
  return { type, collection, revision, objects, unreadable: [] };
}

function decodeUpdate({ type, collection, revision, objects, unreadable }: WireUpdate): CollectionUpdate {
  const changes = objects.map(({ deleted, name, revision: changed, value }) => ({
    item: { name, revision: changed, value },
    deleted,
  }));
  if (type === 'changed') return { type, collection, changes: { changes, unreadable: [], revision } };
  const listing = {
    items: changes.map(({ item }) => item),
    unreadable: unreadable.map((name) => ({ name, message: 'the reader could not decode it' })),
    revision,
  };
  return { type, collection, listing };
}
