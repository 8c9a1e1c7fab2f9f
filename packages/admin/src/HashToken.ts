import { hash } from 'node:crypto';

/** Returns the SHA-256 digest of a token in hex, as stored in `tokenHashes`. */
export function hashToken(token: string): string {
  return hash('sha256', token, 'hex');
}
