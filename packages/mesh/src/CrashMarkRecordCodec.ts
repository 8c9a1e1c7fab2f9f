import type { Codec } from 'purify-ts';
import { createListCodec } from '#codec/CreateListCodec.js';
import { createObjectCodec } from '#codec/CreateObjectCodec.js';
import { flagCodec } from '#codec/FlagCodec.js';
import { idCodec } from '#codec/IdCodec.js';
import { labelCodec } from '#codec/LabelCodec.js';
import { ordinalCodec } from '#codec/OrdinalCodec.js';
import type { CrashMarkRecord } from '#mesh/CrashMarkRecord.js';

/** Limit of marks in one record; a daemon writes fewer. */
const MAX_MARKS = 1_000;

/** Codec of a stored `CrashMarkRecord`. */
export const crashMarkRecordCodec: Codec<CrashMarkRecord> = createObjectCodec({
  service: idCodec,
  marks: createListCodec(
    createObjectCodec({
      fingerprint: idCodec,
      death: labelCodec,
      cleared: flagCodec,
      markedMs: ordinalCodec,
    }),
    MAX_MARKS,
  ),
});
