import { createNumberCodec } from '#codec/CreateNumberCodec.js';

const MAX_MEASURE = 1_000_000_000_000;

/** Decodes a non-negative quantity that may have a fraction, such as a weight or a rate. */
export const measureCodec = createNumberCodec(0, MAX_MEASURE);
