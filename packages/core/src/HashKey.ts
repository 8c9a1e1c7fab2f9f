import { hash } from 'node:crypto';

/** Hashes a key to an unsigned 32-bit integer: the first four bytes of its SHA-1 digest. */
export function hashKey(key: string): number {
  return Number.parseInt(hash('sha1', key, 'hex').slice(0, 8), 16);
}
