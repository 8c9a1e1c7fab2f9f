import type { LoadReport } from '#mesh/LoadReport.js';
import type { BackendResult } from '#mesh/BackendResult.js';
import type { RefusalCode } from '#mesh/RefusalCode.js';

/** Refusals for lack of capacity, which may pass once the queued requests have run. */
const TEMPORARY: ReadonlySet<RefusalCode> = new Set(['full', 'shed', 'tooLate', 'notGranted']);

/**
 * Creates the result of a request that has not run. `arrived` tells whether the backend server itself refused
 * it.
 */
export function createRefusal(code: RefusalCode, load: LoadReport, arrived: boolean): BackendResult {
  const retryAfterMs = TEMPORARY.has(code) ? Math.ceil(load.waitMs) : 0;
  return { type: 'refused', code, retryAfterMs, load, arrived };
}
