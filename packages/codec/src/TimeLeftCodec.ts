import { createNumberCodec } from '#codec/CreateNumberCodec.js';
import { maxDurationMs } from '#codec/MaxDurationMs.js';

/** Decodes the time left until some moment in milliseconds; negative if it has passed. */
export const timeLeftCodec = createNumberCodec(-maxDurationMs, maxDurationMs);
