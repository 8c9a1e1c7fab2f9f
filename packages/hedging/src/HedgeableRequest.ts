/** What hedging needs to know of a request to a backend server. Times are monotonic, in milliseconds. */
export interface HedgeableRequest {
  readonly callerRequest: { readonly id: string };
  readonly service: string;
  readonly dueMs: number;
  /** Number of this copy, counted over all copies of the caller's request. */
  readonly copy: number;
}
