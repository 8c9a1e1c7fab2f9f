import { FaultPolicy } from '#core/FaultPolicy.js';
import type { TaskFault } from '#core/TaskFault.js';

/**
 * Rethrows the error, which ends the process: the state of the task may be inconsistent, or the task may wait for a
 * message that never arrives.
 */
export class ExitOnFault extends FaultPolicy {
  protected override act({ err }: TaskFault): void {
    throw err;
  }
}
