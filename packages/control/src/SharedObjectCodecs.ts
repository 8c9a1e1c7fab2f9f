import { unknown } from 'purify-ts';
import { createChoiceCodec } from '#codec/CreateChoiceCodec.js';
import { createListCodec } from '#codec/CreateListCodec.js';
import { createObjectCodec } from '#codec/CreateObjectCodec.js';
import { idCodec } from '#codec/IdCodec.js';
import { labelCodec } from '#codec/LabelCodec.js';
import { ordinalCodec } from '#codec/OrdinalCodec.js';
import { wallTimeCodec } from '#codec/WallTimeCodec.js';

/** Withdrawals or lost servers at most; above the number of servers of a fleet. */
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

/** Checks the objects that every daemon holds, by their names. The catalogue itself has a schema of its own. */
export const sharedObjectCodecs = Object.freeze({
  catalogue: createObjectCodec({
    ...head,
    value: createObjectCodec({ author: labelCodec, catalogue: unknown }),
  }),
  intent: createObjectCodec({ ...head, value: createObjectCodec({ author: labelCodec, intent }) }),
});
