import { createIntegerCodec } from '#codec/CreateIntegerCodec.js';
import { fullKeyRange } from '#ranges/FullKeyRange.js';

/** Decodes a key, an integer of the full key range. */
export const keyCodec = createIntegerCodec(fullKeyRange.from, fullKeyRange.to);
