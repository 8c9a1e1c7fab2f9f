import { createTextCodec } from '#codec/CreateTextCodec.js';

const MAX_LENGTH = 512;

/** Decodes a name or id, which is never empty. */
export const idCodec = createTextCodec(1, MAX_LENGTH);
