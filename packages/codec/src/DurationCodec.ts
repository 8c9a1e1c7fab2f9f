import { createNumberCodec } from '#codec/CreateNumberCodec.js';
import { maxDurationMs } from '#codec/MaxDurationMs.js';

/** Decodes a length of time in milliseconds, for which a timer may run. */
export const durationCodec = createNumberCodec(0, maxDurationMs);
