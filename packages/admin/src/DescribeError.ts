import { RouterError } from '#core/RouterError.js';
import { AdminError } from '#admin/AdminError.js';
import type { AdminReply } from '#admin/AdminReply.js';

/** Builds the response to a failed request. The message of an unexpected error is logged but not sent. */
export function describeError(error: unknown): AdminReply {
  if (!(error instanceof RouterError))
    return { status: 500, body: { error: 'internal', step: 'admin', peer: '', message: 'internal error' } };
  const { code, step, peer, status, retryAfterMs } = error.fields;
  const details = error instanceof AdminError ? error.details : {};
  const body = { error: code, step, peer, message: error.message, retryAfterMs, ...details };
  const version = typeof details.version === 'number' ? { version: details.version } : {};
  return { status, body, ...version };
}
