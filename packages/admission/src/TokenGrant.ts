import type { QuotaGrant } from '#admission/QuotaGrant.js';

/** Reply to a `TokenRequest`. */
export interface TokenGrant extends QuotaGrant {
  /** Time until the holder knows that all grants of earlier holders have expired; 0 if it grants tokens. */
  readonly readyInMs: number;
}
