import { Codec, Left, Right, type Either } from 'purify-ts';
import { describeValue } from '#codec/DescribeValue.js';

/* eslint-disable-next-line @typescript-eslint/no-explicit-any -- the constraint of the library's `Codec.interface` */
type Fields = Record<string, Codec<any>>;

/**
 * Creates a codec for objects with the given fields; other fields are dropped. Errors contain the name of the invalid
 * field. In contrast to `Codec.interface` of the library, they do not contain the received value, which may be huge.
 */
export function createObjectCodec<T extends Fields>(fields: T): ReturnType<typeof Codec.interface<T>> {
  type Decoded = ReturnType<typeof Codec.interface<T>> extends Codec<infer V> ? V : never;
  const entries = Object.entries(fields);
  const decode = (value: unknown): Either<string, Decoded> => {
    if (typeof value !== 'object' || value === null || Array.isArray(value))
      return Left(`expected an object, received ${describeValue(value)}`);
    const result: Record<string, unknown> = {};
    for (const [name, codec] of entries) {
      const field: unknown = Object.hasOwn(value, name) ? value[name as keyof typeof value] : undefined;
      const decoded = codec.decode(field) as Either<string, unknown>;
      if (decoded.isLeft()) return Left(`${name}: ${decoded.extract()}`);
      const item = decoded.unsafeCoerce();
      if (item !== undefined) result[name] = item;
    }
    return Right(result as Decoded);
  };
  return { ...Codec.interface(fields), ...Codec.custom<Decoded>({ decode, encode: (value) => value }) };
}
