import { createIntegerCodec } from '#codec/CreateIntegerCodec.js';
import { fullKeyRange } from '#ranges/FullKeyRange.js';

/** Decodes a key of a service. */
export const keyCodec = createIntegerCodec(fullKeyRange.from, fullKeyRange.to);
