import { createIntegerCodec } from '#codec/CreateIntegerCodec.js';

const MAX_PORT = 65_535;

/** Decodes a port that can be connected to. */
export const portCodec = createIntegerCodec(1, MAX_PORT);
