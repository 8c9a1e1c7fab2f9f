import type { SeenVersions } from '#control/SeenVersions.js';

/** Digests of other daemons that are kept for the status. */
const MAX_DIGESTS = 256;

/** The last digest of each of the daemons that were heard of last. Used by the spread task alone. */
export class PeerDigestTable {
  private digests: ReadonlyMap<string, SeenVersions> = new Map();

  public note(entry: SeenVersions): void {
    const others = [...this.digests].filter(([serverId]) => serverId !== entry.serverId);
    this.digests = new Map([...others.slice(1 - MAX_DIGESTS), [entry.serverId, entry]]);
  }

  public list(): readonly SeenVersions[] {
    return [...this.digests.values()];
  }
}
