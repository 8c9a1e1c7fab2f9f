/** A backend server ran a request. */
export interface ExecutionEvent {
  readonly type: 'order';
  readonly requestId: string;
  readonly team: string;
  /** Empty for services without keys. */
  readonly key: string;
  /** Value of `idempotency-key`; empty for requests that may be repeated. */
  readonly idempotencyKey: string;
  readonly serverId: string;
  /** Fencing token of the shard; 0 for services without keys. */
  readonly token: number;
  readonly startMs: number;
  /** End of the run; infinite if the server was lost during the run. */
  readonly endMs: number;
}
