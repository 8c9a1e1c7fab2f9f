/** What one daemon would do with a request. */
export interface ExplainedDaemon {
  readonly serverId: string;
  readonly decision: 'serve' | 'forward' | 'refuse';
  /** Code of the refusal; empty otherwise. */
  readonly code: string;
  readonly reason: string;
  /** Addresses that the request is forwarded to, or that a refusal names as able to serve it. */
  readonly to: readonly string[];
}
