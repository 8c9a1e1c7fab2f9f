import type { LoadReport } from '#balance/LoadReport.js';
import type { BackendResult } from '#mesh/BackendResult.js';
import type { RefusalCode } from '#mesh/RefusalCode.js';

/** Refusals that may pass once the queued requests have run. */
const TEMPORARY: ReadonlySet<RefusalCode> = new Set(['shed', 'notGranted']);

/**
 * Creates the result of a request that has not run. `arrived` tells whether the backend server itself refused
 * it. `placeMs` is the time until its place in the return schedule; undefined if it has none.
 */
export function createRefusal(
  code: RefusalCode,
  load: LoadReport,
  arrived: boolean,
  placeMs: number | undefined,
): BackendResult {
  const retryAfterMs = placeMs ?? (TEMPORARY.has(code) ? Math.ceil(load.waitMs) : 0);
  return { type: 'refused', code, retryAfterMs, load, arrived };
}
