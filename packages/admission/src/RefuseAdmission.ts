import type { AdmissionResult } from '#admission/AdmissionResult.js';

/** Longest retry delay that is advised to a caller. */
const MAX_RETRY_AFTER_MS = 60_000;

/** Creates the refusal of a request that exceeds the limits of its entry. */
export function refuseAdmission(code: string, retryAfterMs: number): AdmissionResult {
  return {
    kind: 'refuse',
    error: {
      code,
      step: 'admit',
      peer: '',
      ran: 'not run',
      status: 429,
      retryAfterMs: Math.ceil(Math.min(MAX_RETRY_AFTER_MS, Math.max(1, retryAfterMs))),
    },
  };
}
