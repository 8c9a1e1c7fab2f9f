import { FaultPolicy } from '#core/FaultPolicy.js';
import type { TaskFault } from '#core/TaskFault.js';

/** Ends the process by an uncaught error: the task may be half updated, or wait for a message that never comes. */
export class ExitOnFault extends FaultPolicy {
  protected override act({ err }: TaskFault): void {
    throw err;
  }
}
