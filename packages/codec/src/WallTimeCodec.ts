import { createNumberCodec } from '#codec/CreateNumberCodec.js';

/** Decodes a point in time in Unix milliseconds, including fractions. */
export const wallTimeCodec = createNumberCodec(0, Number.MAX_SAFE_INTEGER);
