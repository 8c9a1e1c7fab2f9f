import { createCodec } from '#codec/CreateCodec.js';

/** Decodes true or false. */
export const flagCodec = createCodec(
  'true or false',
  (value): value is boolean => typeof value === 'boolean',
);
