import { createNumberCodec } from '#codec/CreateNumberCodec.js';

/** Factors beyond these bounds are not measured; shares of work are divided by them. */
const LEAST = 1e-6;
const MOST = 1e6;

/** Decodes a factor by which work takes longer than usual. */
export const slowdownCodec = createNumberCodec(LEAST, MOST);
