import { hash } from 'node:crypto';
import type { RequestHead } from '#proxy/RequestHead.js';

/** Identifies a request wherever its caller sends it again: a hash over all that decides what it does. */
export function createRequestFingerprint(head: RequestHead, bodyHash: string): string {
  const parts = [head.team, head.class, head.service, head.key, head.method, head.path, bodyHash];
  return hash('sha1', parts.join('\n'), 'hex');
}
