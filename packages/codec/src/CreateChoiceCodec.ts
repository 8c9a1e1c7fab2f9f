import type { Codec } from 'purify-ts';
import { createCodec } from '#codec/CreateCodec.js';

/** Creates a codec for one of the given texts. */
export function createChoiceCodec<const T extends string>(choices: readonly T[]): Codec<T> {
  const known: ReadonlySet<unknown> = new Set(choices);
  return createCodec(`one of ${choices.join(', ')}`, (value): value is T => known.has(value));
}
