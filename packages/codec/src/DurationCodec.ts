import { createNumberCodec } from '#codec/CreateNumberCodec.js';
import { maxDurationMs } from '#codec/MaxDurationMs.js';

/** Decodes a duration in milliseconds that a timer can measure. */
export const durationCodec = createNumberCodec(0, maxDurationMs);
