import type { Codec } from 'purify-ts';
import { createCodec } from '#codec/CreateCodec.js';

/** Creates a codec for texts of `minLength` to `maxLength` characters. */
export function createTextCodec(minLength: number, maxLength: number): Codec<string> {
  return createCodec(
    `a text of ${minLength} to ${maxLength} characters`,
    (value): value is string =>
      typeof value === 'string' && value.length >= minLength && value.length <= maxLength,
  );
}
