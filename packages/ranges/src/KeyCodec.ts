import { createIntegerCodec } from '#codec/CreateIntegerCodec.js';
import { keySpace } from '#ranges/KeySpace.js';

/** Decodes a key of a service. */
export const keyCodec = createIntegerCodec(keySpace.from, keySpace.to);
