import { hash } from 'node:crypto';

/** Returns the first 64 bits of the SHA-1 digest of a key as 16 hex digits. */
export function digestKey(key: string): string {
  return hash('sha1', key, 'hex').slice(0, 16);
}
