/** Properties of a sent request that are needed to read its response. */
export interface SentRequest {
  readonly requestId: string;
  /** Whether the method is HEAD, so that the response has no body. */
  readonly isHead: boolean;
}
