import { createTextCodec } from '#codec/CreateTextCodec.js';

const MAX_LENGTH = 1_024;

/** Decodes a short text that may be empty, such as the run id of a backend server, which is empty if there is none. */
export const labelCodec = createTextCodec(0, MAX_LENGTH);
