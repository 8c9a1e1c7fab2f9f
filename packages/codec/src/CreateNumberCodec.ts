import type { Codec } from 'purify-ts';
import { createCodec } from '#codec/CreateCodec.js';

/** Creates a codec for numbers from `min` to `max`, including fractions. */
export function createNumberCodec(min: number, max: number): Codec<number> {
  return createCodec(
    `a number from ${min} to ${max}`,
    (value): value is number => typeof value === 'number' && value >= min && value <= max,
  );
}
