import { unknown } from 'purify-ts';
import { createChoiceCodec } from '#codec/CreateChoiceCodec.js';
import { createListCodec } from '#codec/CreateListCodec.js';
import { createObjectCodec } from '#codec/CreateObjectCodec.js';
import { idCodec } from '#codec/IdCodec.js';
import { labelCodec } from '#codec/LabelCodec.js';
import { ordinalCodec } from '#codec/OrdinalCodec.js';
import { wallTimeCodec } from '#codec/WallTimeCodec.js';

/** Limit of the withdrawals and of the lost servers; exceeds the number of servers in a fleet. */
const MAX_ENTRIES = 100_000;

const withdrawal = createObjectCodec({
  kind: createChoiceCodec(['failureDomain', 'vm', 'server']),
  name: labelCodec,
  author: labelCodec,
  sinceMs: wallTimeCodec,
});

const intent = createObjectCodec({
  withdrawals: createListCodec(withdrawal, MAX_ENTRIES),
  confirmedLost: createListCodec(labelCodec, MAX_ENTRIES),
});

const head = { name: idCodec, version: ordinalCodec };

/** Codecs of the shared objects by name. They leave the catalogue's content to `decodeCatalogue`. */
export const sharedObjectCodecs = Object.freeze({
  catalogue: createObjectCodec({
    ...head,
    value: createObjectCodec({ author: labelCodec, catalogue: unknown }),
  }),
  intent: createObjectCodec({ ...head, value: createObjectCodec({ author: labelCodec, intent }) }),
});
