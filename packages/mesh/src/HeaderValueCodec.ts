import { Codec, Right, type Either } from 'purify-ts';
import { headerTextCodec } from '#mesh/HeaderTextCodec.js';

/** Decodes a header value of a request between daemons; 0 stands for the host. */
export const headerValueCodec = Codec.custom<string | 0>({
  decode: (value): Either<string, string | 0> => (value === 0 ? Right(0) : headerTextCodec.decode(value)),
  encode: (value) => value,
});
