import { createIntegerCodec } from '#codec/CreateIntegerCodec.js';

const MOST = 1_000_000_000;

/** Decodes a number of things, such as slots, attempts or bytes. */
export const countCodec = createIntegerCodec(0, MOST);
