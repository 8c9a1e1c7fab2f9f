import { createHash } from 'node:crypto';
import type { Order } from '#mesh/Order.js';

/** Identifies requests with the same path, caller and body, whatever their ids. */
export function createFingerprint({ request, callerService }: Order): string {
  const hash = createHash('sha1');
  hash.update(`${request.target}\n${request.host}\n${callerService}\n`);
  return hash.update(request.body).digest('base64url');
}
