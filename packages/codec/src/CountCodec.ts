import { createIntegerCodec } from '#codec/CreateIntegerCodec.js';

const MAX_COUNT = 1_000_000_000;

/** Decodes a count, such as a number of slots, attempts or bytes. */
export const countCodec = createIntegerCodec(0, MAX_COUNT);
