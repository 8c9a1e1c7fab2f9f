import { Codec, Left, Right, type Either } from 'purify-ts';
import { describeValue } from '#codec/DescribeValue.js';

/** Creates a codec for values that pass `isValid`. Errors contain `expected`, a description of valid values. */
export function createCodec<T>(expected: string, isValid: (value: unknown) => value is T): Codec<T> {
  return Codec.custom<T>({
    decode: (value): Either<string, T> =>
      isValid(value) ? Right(value) : Left(`expected ${expected}, received ${describeValue(value)}`),
    encode: (value) => value,
  });
}
