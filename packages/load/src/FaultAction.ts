import type { ScheduledFault } from '#load/ScheduledFault.js';
import type { FaultTarget } from '#load/FaultTarget.js';

/** Starts and ends faults of one kind. */
export abstract class FaultAction {
  /** Starts the fault. */
  public abstract inject(target: FaultTarget, fault: ScheduledFault): Promise<void>;
  /** Ends the fault and replaces lost processes. */
  public abstract revert(target: FaultTarget, fault: ScheduledFault): Promise<void>;
}
