import { createHash } from 'node:crypto';
import type { BackendRequest } from '#mesh/BackendRequest.js';

/**
 * Hashes path, host, calling service and body, so that retries of a request under another id have the same
 * fingerprint.
 */
export function createBackendRequestFingerprint({ callerRequest, callerService }: BackendRequest): string {
  const hash = createHash('sha1');
  hash.update(`${callerRequest.target}\n${callerRequest.host}\n${callerService}\n`);
  return hash.update(callerRequest.body).digest('base64url');
}
