import type { Codec } from 'purify-ts';
import { createCodec } from '#codec/CreateCodec.js';

/** Creates a codec for whole numbers from `min` to `max`. */
export function createIntegerCodec(min: number, max: number): Codec<number> {
  return createCodec(
    `a whole number from ${min} to ${max}`,
    (value): value is number => Number.isInteger(value) && isWithin(value as number, min, max),
  );
}

function isWithin(value: number, min: number, max: number): boolean {
  return value >= min && value <= max;
}
