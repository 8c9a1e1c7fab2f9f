import { createTextCodec } from '#codec/CreateTextCodec.js';

const MAX_LENGTH = 1024 * 1024;

/** Decodes a request target, or the name or value of a header. */
export const headerTextCodec = createTextCodec(0, MAX_LENGTH);
