import type { Codec } from 'purify-ts';
import { createCodec } from '#codec/CreateCodec.js';

/** Creates a codec for an enumeration of texts. */
export function createChoiceCodec<const T extends string>(choices: readonly T[]): Codec<T> {
  const choiceSet: ReadonlySet<unknown> = new Set(choices);
  return createCodec(`one of ${choices.join(', ')}`, (value): value is T => choiceSet.has(value));
}
