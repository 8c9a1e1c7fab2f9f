import type { IncomingMessage } from 'node:http';
import { Left, Right, type Either } from 'purify-ts';
import { AdminError } from '#admin/AdminError.js';

// The object store accepts values of up to 1 MB.
const MAX_BODY_BYTES = 1_000_000;

/** Reads the body of a request as UTF-8; 413 above 1 MB. */
export async function readAdminBody(req: IncomingMessage): Promise<Either<AdminError, string>> {
  const chunks: Buffer[] = []; // eslint-disable-line no-restricted-syntax -- local accumulator
  if (Number(req.headers['content-length'] ?? 0) > MAX_BODY_BYTES) return Left(reportTooLarge());
  let size = 0;
  // An early return must not destroy the request, because the refusal is sent on the same socket.
  const body = req.iterator({ destroyOnReturn: false }) as AsyncIterable<Buffer>;
  for await (const chunk of body) {
    size += chunk.length;
    if (size > MAX_BODY_BYTES) return Left(reportTooLarge());
    chunks.push(chunk);
  }
  return Right(Buffer.concat(chunks).toString('utf8'));
}

function reportTooLarge(): AdminError {
  return new AdminError(413, 'tooLarge', `the body is larger than ${MAX_BODY_BYTES} bytes`);
}
