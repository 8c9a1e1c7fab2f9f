/** A request that has one copy under way. Times are monotonic, in milliseconds. */
export interface SlowRequest<S> {
  readonly service: string;
  readonly kind: string;
  readonly server: S;
  readonly candidates: readonly S[];
  readonly sentMs: number;
  readonly dueMs: number;
}
