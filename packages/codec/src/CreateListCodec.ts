import { Codec, Left, Right, type Either } from 'purify-ts';
import { describeValue } from '#codec/DescribeValue.js';

/** Creates a codec for lists of at most `maxLength` items. Errors contain the index of the invalid item. */
export function createListCodec<T>(item: Codec<T>, maxLength: number): Codec<readonly T[]> {
  const decode = (value: unknown): Either<string, readonly T[]> => {
    if (!Array.isArray(value) || value.length > maxLength)
      return Left(`expected a list of at most ${maxLength}, received ${describeValue(value)}`);
    const result: T[] = []; // eslint-disable-line no-restricted-syntax -- filled below
    for (const [index, each] of value.entries()) {
      const decoded = item.decode(each);
      if (decoded.isLeft()) return Left(`item ${index}: ${decoded.extract()}`);
      result.push(decoded.unsafeCoerce());
    }
    return Right(result);
  };
  return Codec.custom<readonly T[]>({ decode, encode: (items) => items.map((each) => item.encode(each)) });
}
