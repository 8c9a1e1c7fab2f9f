import { Codec, Left, type Either } from 'purify-ts';
import { describeValue } from '#codec/DescribeValue.js';
import { keyCodec } from '#ranges/KeyCodec.js';
import type { KeyRange } from '#ranges/KeyRange.js';

/** Creates a codec for rows of keys `[from, to, detail]`; `detail` is the codec of the third item. */
export function createRowCodec<T>(detail: Codec<T>): Codec<KeyRange & { readonly detail: T }> {
  type Row = KeyRange & { readonly detail: T };
  const decode = (value: unknown): Either<string, Row> => {
    if (!Array.isArray(value)) return Left(`expected a row of keys, received ${describeValue(value)}`);
    const [first, last, rest] = value as readonly unknown[];
    return keyCodec.decode(first).chain((from) =>
      keyCodec.decode(last).chain((to) => {
        if (from > to) return Left(`row ends at ${to}, before its start at ${from}`);
        return detail.decode(rest).map((decoded) => ({ from, to, detail: decoded }));
      }),
    );
  };
  return Codec.custom<Row>({
    decode,
    encode: ({ from, to, detail: last }): unknown => [from, to, detail.encode(last)],
  });
}
