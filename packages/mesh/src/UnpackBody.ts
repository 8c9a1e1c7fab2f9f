import { Left, Right, type Either } from 'purify-ts';
import { inflateRawSync } from 'node:zlib';
import { maxBodyBytes } from '#mesh/MaxBodyBytes.js';

/** Decompresses a body that another daemon sent with `encoding`. Fails on malformed data or above `maxBodyBytes`. */
export function unpackBody(bytes: Buffer, encoding: string | undefined): Either<string, Buffer> {
  if (encoding !== 'deflate') return Right(bytes);
  try {
    return Right(inflateRawSync(bytes, { maxOutputLength: maxBodyBytes }));
  } catch (err) {
    return Left(`the body cannot be decompressed: ${String(err)}`);
  }
}
