/** What a connection needs to know of the order that it carries. */
export interface SentRequest {
  readonly requestId: string;
  /** Whether its method is HEAD, whose answers have no body. */
  readonly isHead: boolean;
}
