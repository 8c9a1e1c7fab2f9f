import type { Call } from '#load/Call.js';
import type { CallRequest } from '#load/CallRequest.js';

/** Functions of the caller that create and check content. */
export interface LoadContent {
  /** Creates the content of a request; it has to be the same for every attempt. */
  readonly createOrder: (call: Call) => CallRequest;
  /** Compares a successful response byte for byte with what the request has to get. */
  readonly checkContent: (call: Call, body: Buffer) => boolean;
}
