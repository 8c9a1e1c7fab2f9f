import type { SeenVersions } from '#control/SeenVersions.js';

const MAX_DIGESTS = 256;

/** Keeps the last digests of the most recently heard daemons, for the status. Used only by the spread task. */
export class SeenDigests {
  private digests: ReadonlyMap<string, SeenVersions> = new Map();

  public note(entry: SeenVersions): void {
    const others = [...this.digests].filter(([serverId]) => serverId !== entry.serverId);
    this.digests = new Map([...others.slice(1 - MAX_DIGESTS), [entry.serverId, entry]]);
  }

  public list(): readonly SeenVersions[] {
    return [...this.digests.values()];
  }
}
