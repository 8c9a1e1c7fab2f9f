import type { QuotaRequest } from '#admission/QuotaRequest.js';

/** Request for tokens that are used up at once or within a short time, instead of a share of the rate. */
export interface TokenRequest extends QuotaRequest {
  /** Number of tokens that the daemon needs; 0 if it only returns some. */
  readonly tokens: number;
  /** Unused tokens that the daemon has given up before it sent this request. */
  readonly returned: number;
}
