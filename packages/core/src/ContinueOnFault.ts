import { FaultPolicy } from '#core/FaultPolicy.js';

/** Continues with the next message; for tasks whose messages each concern a single request or connection. */
export class ContinueOnFault extends FaultPolicy {
  protected override act(): void {
    // The request ends at its deadline, and a connection ends when its peer closes it.
  }
}
