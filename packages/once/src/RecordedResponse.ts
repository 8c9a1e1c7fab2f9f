/** Response of a backend server to a non-repeatable request, as it is recorded for repeats. */
export interface RecordedResponse {
  /** SHA-256 of the request body, in hex; empty if it was recorded before, or if the body was not read to its end. */
  readonly bodyHash: string;
  readonly status: number;
  readonly contentType: string;
  /** Body of the response in base64; empty if it is not complete. */
  readonly body: string;
  /** Whether `body` holds the whole body of the response. */
  readonly complete: boolean;
}
