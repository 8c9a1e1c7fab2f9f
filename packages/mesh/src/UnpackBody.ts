import { Left, Right, type Either } from 'purify-ts';
import { inflateRawSync } from 'node:zlib';

/** Bytes of one body at most. */
const MAX_BYTES = 128 * 1024 * 1024;

/** Restores a body that another daemon sent with `encoding`. */
export function unpackBody(bytes: Buffer, encoding: string | undefined): Either<string, Buffer> {
  if (encoding !== 'deflate') return Right(bytes);
  try {
    return Right(inflateRawSync(bytes, { maxOutputLength: MAX_BYTES }));
  } catch (err) {
    return Left(`a body cannot be inflated: ${String(err)}`);
  }
}
