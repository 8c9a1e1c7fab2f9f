import { createHash } from 'node:crypto';
import type { BackendRequest } from '#mesh/BackendRequest.js';

/** Identifies requests with the same path, caller and body, whatever their ids. */
export function createBackendRequestFingerprint({ request, callerService }: BackendRequest): string {
  const hash = createHash('sha1');
  hash.update(`${request.target}\n${request.host}\n${callerService}\n`);
  return hash.update(request.body).digest('base64url');
}
