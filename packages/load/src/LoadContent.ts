import type { Call } from '#load/Call.js';
import type { CallRequest } from '#load/CallRequest.js';

/** Creates the requests of a load and checks the responses. */
export interface LoadContent {
  /** Creates the content of a request, which must be the same for every attempt. */
  readonly createRequest: (call: Call) => CallRequest;
  /** Returns whether the body of a successful response is, byte for byte, the expected one. */
  readonly checkContent: (call: Call, body: Buffer) => boolean;
}
