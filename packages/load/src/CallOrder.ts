/** Content of a request. */
export interface CallOrder {
  readonly method: 'GET' | 'POST' | 'PUT';
  /** Path behind `/v1/{service}/`, without a leading slash. */
  readonly path: string;
  readonly body: Buffer;
}
