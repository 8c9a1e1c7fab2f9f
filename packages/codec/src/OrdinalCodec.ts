import { createIntegerCodec } from '#codec/CreateIntegerCodec.js';

/** Decodes a number that only increases: a term, epoch, revision, sequence, version, or a time in Unix milliseconds. */
export const ordinalCodec = createIntegerCodec(0, Number.MAX_SAFE_INTEGER);
