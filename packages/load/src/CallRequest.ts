/** Method, path and body of a request. */
export interface CallRequest {
  readonly method: 'GET' | 'POST' | 'PUT';
  /** Path after `/v1/{service}/`, without a leading slash. */
  readonly path: string;
  readonly body: Buffer;
}
