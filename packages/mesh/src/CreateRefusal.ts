import type { LoadReport } from '#mesh/LoadReport.js';
import type { BackendResult } from '#mesh/BackendResult.js';
import type { RefusalCode } from '#mesh/RefusalCode.js';

/** Refusals after which there may be room once waiting orders have run. */
const PASSING: ReadonlySet<RefusalCode> = new Set(['full', 'shed', 'tooLate', 'notGranted']);

/** The result of an order that has not run. `arrived` tells whether the backend server itself refused it. */
export function createRefusal(code: RefusalCode, load: LoadReport, arrived: boolean): BackendResult {
  const retryAfterMs = PASSING.has(code) ? Math.ceil(load.waitMs) : 0;
  return { type: 'refused', code, retryAfterMs, load, arrived };
}
