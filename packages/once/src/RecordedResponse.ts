/** The complete answer of a backend server to a request that may not be repeated. */
export interface RecordedResponse {
  /** SHA-256 of the request body, in hex; empty if the body was not read to its end. */
  readonly bodyHash: string;
  readonly status: number;
  readonly contentType: string;
  /** Body of the answer in base64. */
  readonly answer: string;
  /** Whether `answer` holds the whole body. */
  readonly complete: boolean;
}
