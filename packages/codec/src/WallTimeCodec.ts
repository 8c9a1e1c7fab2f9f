import { createNumberCodec } from '#codec/CreateNumberCodec.js';

/** Decodes a moment in Unix milliseconds, which need not be whole. */
export const wallTimeCodec = createNumberCodec(0, Number.MAX_SAFE_INTEGER);
