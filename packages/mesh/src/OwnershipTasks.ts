import type { EraChange } from '#store/EraChange.js';
import type { OwnershipOptions } from '#mesh/OwnershipOptions.js';
import { PlannerTask } from '#mesh/PlannerTask.js';
import { PresenceTask } from '#mesh/PresenceTask.js';
import { RangeLeaseTask } from '#mesh/RangeLeaseTask.js';
import { RangeTask } from '#mesh/RangeTask.js';
import type { MeshView } from '#mesh/MeshView.js';

/** Creates and connects the tasks of a daemon that decide which keys its backend server owns. */
export class OwnershipTasks {
  public readonly presence: PresenceTask;
  public readonly ranges: RangeTask;
  public readonly lease: RangeLeaseTask;
  public readonly planner: PlannerTask;

  public constructor(options: OwnershipOptions) {
    const { createLogger, onFacts } = options;
    this.ranges = new RangeTask({
      ...options,
      logger: createLogger('ranges'),
      onKeyed: () => this.lease.post({ type: 'hold' }),
      onUnreachable: (server) => this.presence.post({ type: 'unreachable', server }),
      onFacts: (facts) => {
        this.lease.post({ type: 'facts', facts });
        onFacts(facts);
      },
    });
    this.lease = new RangeLeaseTask({
      ...options,
      logger: createLogger('lease'),
      onLease: (lease) => {
        this.ranges.post({ type: 'lease', lease });
        this.presence.post({ type: 'term', term: lease.term });
      },
    });
    this.planner = new PlannerTask({ ...options, logger: createLogger('planner') });
    this.presence = new PresenceTask({
      ...options,
      logger: createLogger('presence'),
      onCheckIn: (checkIn) => this.ranges.post({ type: 'checkIn', checkIn }),
      onEnded: (incarnation, reason) => this.ranges.post({ type: 'ended', incarnation, reason }),
    });
  }

  /** Begins to read what a former process of this daemon left in the store. */
  public start(): void {
    this.presence.start();
  }

  /**
   * Passes a change of the store's era on. The ranges are first, as they keep what the lease covered before the restore.
   */
  public noteEra(change: EraChange): void {
    for (const task of [this.ranges, this.lease, this.planner, this.presence])
      task.post({ type: 'eraChanged', change });
  }

  public stop(): void {
    for (const task of [this.presence, this.ranges, this.lease, this.planner]) task.stop();
  }

  /** Passes a new view of the fleet to the tasks that depend on it. */
  public applyView(view: MeshView): void {
    this.ranges.post({ type: 'view', view });
    this.planner.post({ type: 'view', view });
  }
}
