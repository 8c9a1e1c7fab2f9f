import type { SeenVersions } from '#control/SeenVersions.js';

/** Digests of other daemons that are kept for the status. */
const SEEN_KEPT = 256;

/** The last digest of each of the daemons that were heard of last. Used by the spread task alone. */
export class SeenDigests {
  private seen: ReadonlyMap<string, SeenVersions> = new Map();

  public note(entry: SeenVersions): void {
    const others = [...this.seen].filter(([serverId]) => serverId !== entry.serverId);
    this.seen = new Map([...others.slice(1 - SEEN_KEPT), [entry.serverId, entry]]);
  }

  public list(): readonly SeenVersions[] {
    return [...this.seen.values()];
  }
}
