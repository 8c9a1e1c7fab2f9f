import type { RouterErrorFields } from '#core/RouterErrorFields.js';

const RETRY_STATUSES: ReadonlySet<number> = new Set([421, 502, 503]);
/** Codes of refusals that every other daemon would repeat. */
const FINAL_CODES: ReadonlySet<string> = new Set(['outsideHomeRegions', 'quarantined', 'noCatalogue']);

/** Returns whether another attempt can have a different outcome. */
export function mayRetryFault(fields: RouterErrorFields): boolean {
  return RETRY_STATUSES.has(fields.status) && !FINAL_CODES.has(fields.code);
}
