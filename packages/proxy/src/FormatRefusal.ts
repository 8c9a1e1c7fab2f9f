import type { RouterErrorFields } from '#core/RouterErrorFields.js';

/** Formats a refusal as the JSON body that callers and other daemons receive. */
export function formatRefusal(fields: RouterErrorFields): string {
  const { code, ran, step, peer, retryAfterMs, at, epoch } = fields;
  return JSON.stringify({ error: code, ran, step, peer, retryAfterMs, at, epoch });
}
