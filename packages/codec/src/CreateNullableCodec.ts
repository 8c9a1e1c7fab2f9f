import { Codec, Right } from 'purify-ts';

/** Creates a codec that also accepts null. */
export function createNullableCodec<T>(codec: Codec<T>): Codec<T | null> {
  return Codec.custom<T | null>({
    decode: (value) => (value === null ? Right(null) : codec.decode(value)),
    encode: (value): unknown => (value === null ? null : codec.encode(value)),
  });
}
