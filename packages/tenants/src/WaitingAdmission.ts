import type { QuotaDecision } from '#tenants/QuotaDecision.js';

/** A request that waits for tokens of its tenant. */
export interface WaitingAdmission {
  readonly decide: (decision: QuotaDecision) => void;
  /** Monotonic time at which it is refused, in milliseconds. */
  readonly untilMs: number;
}
