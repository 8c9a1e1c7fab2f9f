import { createHash } from 'node:crypto';

/**
 * Computes the answer that a stand-in backend server gives, so that a caller can compare it byte for byte.
 * The text depends on every part of the request; `bytes` is its length.
 */
export function createResponseBody(parts: readonly string[], bytes: number): Buffer {
  const seed = createHash('sha256').update(parts.join('\n')).digest('hex');
  return Buffer.alloc(Math.max(bytes, 1), `${seed}.`);
}
