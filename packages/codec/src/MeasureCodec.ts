import { createNumberCodec } from '#codec/CreateNumberCodec.js';

const MOST = 1_000_000_000_000;

/** Decodes a measured or weighed quantity, which need not be whole. */
export const measureCodec = createNumberCodec(0, MOST);
