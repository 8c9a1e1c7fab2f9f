import { hash } from 'node:crypto';
import type { RequestHead } from '#proxy/RequestHead.js';

/** Hashes everything that determines what a request does, so that a repeat is recognized at any daemon. */
export function createRequestFingerprint(head: RequestHead, bodyHash: string): string {
  const parts = [head.team, head.class, head.service, head.key, head.method, head.path, bodyHash];
  return hash('sha1', parts.join('\n'), 'hex');
}
