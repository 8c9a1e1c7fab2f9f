import { createIntegerCodec } from '#codec/CreateIntegerCodec.js';

/** Decodes an increasing integer: a term, epoch, revision, sequence number, version, or a time in Unix milliseconds. */
export const ordinalCodec = createIntegerCodec(0, Number.MAX_SAFE_INTEGER);
