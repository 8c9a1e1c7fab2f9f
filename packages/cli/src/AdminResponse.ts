/** A successful answer of the administration API. */
export interface AdminResponse<T> {
  readonly body: T;
  /** Version in `ETag`; 0 without one. */
  readonly version: number;
}
