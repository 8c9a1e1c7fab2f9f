import { createNumberCodec } from '#codec/CreateNumberCodec.js';
import { maxDurationMs } from '#codec/MaxDurationMs.js';

/** Decodes the remaining time until an event, in milliseconds; negative if the event is over. */
export const timeLeftCodec = createNumberCodec(-maxDurationMs, maxDurationMs);
