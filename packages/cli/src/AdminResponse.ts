/** Successful response of the administration API. */
export interface AdminResponse<T> {
  readonly body: T;
  /** Version in the header `ETag`; 0 if it is missing. */
  readonly version: number;
}
