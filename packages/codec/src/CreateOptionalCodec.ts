import { Codec, Right } from 'purify-ts';

/** Creates a codec for a field that may be absent. */
export function createOptionalCodec<T>(codec: Codec<T>): Codec<T | undefined> {
  return Codec.custom<T | undefined>({
    decode: (value) => (value === undefined ? Right(undefined) : codec.decode(value)),
    encode: (value): unknown => (value === undefined ? undefined : codec.encode(value)),
  });
}
