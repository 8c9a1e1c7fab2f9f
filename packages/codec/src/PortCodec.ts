import { createIntegerCodec } from '#codec/CreateIntegerCodec.js';

const MAX_PORT = 65_535;

/** Decodes a port to connect to; 0 is invalid. */
export const portCodec = createIntegerCodec(1, MAX_PORT);
