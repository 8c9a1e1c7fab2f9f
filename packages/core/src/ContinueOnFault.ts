import { FaultPolicy } from '#core/FaultPolicy.js';

/** Goes on with the next message, for tasks of which each message concerns one request or connection. */
export class ContinueOnFault extends FaultPolicy {
  protected override act(): void {
    // The request ends with its time, its connection with its peer.
  }
}
