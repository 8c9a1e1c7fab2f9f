import { createHash } from 'node:crypto';
import { Transform, type TransformCallback } from 'node:stream';
import type { RequestBody } from '#proxy/RequestBody.js';

/** Returns the body, and calls `onHash` with its SHA-256 in hex once it was read to the end. */
export function hashBody(body: RequestBody, onHash: (bodyHash: string) => void): RequestBody {
  const hash = createHash('sha256');
  if (Buffer.isBuffer(body)) {
    onHash(hash.update(body).digest('hex'));
    return body;
  }
  const pass = new Transform({
    transform(chunk: Buffer, _encoding, callback: TransformCallback) {
      hash.update(chunk);
      callback(null, chunk);
    },
    flush(callback: TransformCallback) {
      onHash(hash.digest('hex'));
      callback();
    },
  });
  body.once('error', (err) => pass.destroy(err));
  return body.pipe(pass);
}
