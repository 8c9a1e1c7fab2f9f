import { createTextCodec } from '#codec/CreateTextCodec.js';

const MAX_LENGTH = 512;

/** Decodes a non-empty name or id. */
export const idCodec = createTextCodec(1, MAX_LENGTH);
