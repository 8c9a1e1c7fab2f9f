import { createCodec } from '#codec/CreateCodec.js';

/** Decodes a boolean. */
export const flagCodec = createCodec(
  'true or false',
  (value): value is boolean => typeof value === 'boolean',
);
