/** Content of a request. */
export interface CallRequest {
  readonly method: 'GET' | 'POST' | 'PUT';
  /** Path behind `/v1/{service}/`, without a leading slash. */
  readonly path: string;
  readonly body: Buffer;
}
