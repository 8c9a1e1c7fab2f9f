import type { LeaseTimings } from '#ranges/LeaseTimings.js';

/** Part by which the clocks of two VMs may differ in rate. */
const RATE_DIFFERENCE = 0.02;

interface Sighting {
  readonly revision: number;
  readonly sinceMs: number;
}

/**
 * Watches the revisions of lease records from outside. A lease whose record has not changed for its whole duration,
 * counted from when this daemon first read that revision, has ended whatever its holder believes. Times are monotonic: a clock
 * that counts a step or a pause twice would end a lease too early.
 */
export class LeaseMonitor {
  private readonly terms: LeaseTimings;
  private readonly sightings = new Map<string, Sighting>();

  public constructor(terms: LeaseTimings) {
    this.terms = terms;
  }

  /** Notes the revision that was read; 0 if there is no record. */
  public note(serverId: string, revision: number, nowMs: number): void {
    if (this.sightings.get(serverId)?.revision === revision) return;
    this.sightings.set(serverId, { revision, sinceMs: nowMs });
  }

  /** Whether the lease at the revision noted last has surely ended. */
  public hasEnded(serverId: string, nowMs: number): boolean {
    const sighting = this.sightings.get(serverId);
    if (sighting === undefined) return false;
    const { leaseMs, marginMs } = this.terms;
    return nowMs - sighting.sinceMs > (leaseMs + marginMs) * (1 + RATE_DIFFERENCE);
  }

  /** Time since the record last changed, in milliseconds. */
  public ageMs(serverId: string, nowMs: number): number {
    const sighting = this.sightings.get(serverId);
    return sighting === undefined ? 0 : nowMs - sighting.sinceMs;
  }

  /** Forgets holders that are no longer of interest. */
  public retain(serverIds: ReadonlySet<string>): void {
    for (const id of this.sightings.keys()) if (!serverIds.has(id)) this.sightings.delete(id);
  }
}
