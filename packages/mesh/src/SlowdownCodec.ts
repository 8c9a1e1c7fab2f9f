import { createNumberCodec } from '#codec/CreateNumberCodec.js';

/** Bounds of a plausible factor. They keep divisions by it finite. */
const MIN_SLOWDOWN = 1e-6;
const MAX_SLOWDOWN = 1e6;

/** Codec of the factor by which work takes longer than usual on a VM. */
export const slowdownCodec = createNumberCodec(MIN_SLOWDOWN, MAX_SLOWDOWN);
