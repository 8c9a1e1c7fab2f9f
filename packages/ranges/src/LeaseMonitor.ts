import { computeLongestLeaseMs } from '#ranges/ComputeLongestLeaseMs.js';
import type { LeaseTimings } from '#ranges/LeaseTimings.js';

interface Observation {
  readonly revision: number;
  readonly sinceMs: number;
}

/**
 * Detects expired leases of other daemons from the revisions of their records. A lease has expired, whatever its holder
 * assumes, if its record did not change for the whole duration of a lease since this daemon first read that revision.
 * Times are monotonic: the elapsed clock may run fast and would end a lease too early.
 */
export class LeaseMonitor {
  private readonly timings: LeaseTimings;
  private readonly observations = new Map<string, Observation>();

  public constructor(timings: LeaseTimings) {
    this.timings = timings;
  }

  /** Notes the revision of a record that was read; 0 if there is no record. */
  public note(serverId: string, revision: number, nowMs: number): void {
    if (this.observations.get(serverId)?.revision === revision) return;
    this.observations.set(serverId, { revision, sinceMs: nowMs });
  }

  /** Whether the lease has expired, judged by the last noted revision. */
  public hasEnded(serverId: string, nowMs: number): boolean {
    const observation = this.observations.get(serverId);
    if (observation === undefined) return false;
    return nowMs - observation.sinceMs > computeLongestLeaseMs(this.timings);
  }

  /** Time since the record last changed, in milliseconds. */
  public ageMs(serverId: string, nowMs: number): number {
    const observation = this.observations.get(serverId);
    return observation === undefined ? 0 : nowMs - observation.sinceMs;
  }

  /** Forgets all holders but these. */
  public retain(serverIds: ReadonlySet<string>): void {
    for (const id of this.observations.keys()) if (!serverIds.has(id)) this.observations.delete(id);
  }
}
