import { createTextCodec } from '#codec/CreateTextCodec.js';

const MAX_LENGTH = 1_024;

/** Decodes a short text that may be empty, such as the run of a backend server that is not there. */
export const labelCodec = createTextCodec(0, MAX_LENGTH);
