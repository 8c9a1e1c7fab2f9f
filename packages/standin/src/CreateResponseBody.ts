import { createHash } from 'node:crypto';

/**
 * Computes the response body of a stand-in backend server, so that a test can compare it with the received one byte for
 * byte. The body depends on every part of the request; `bytes` is its length.
 */
export function createResponseBody(parts: readonly string[], bytes: number): Buffer {
  const seed = createHash('sha256').update(parts.join('\n')).digest('hex');
  return Buffer.alloc(Math.max(bytes, 1), `${seed}.`);
}
