import type { PeerDigest } from '#control/PeerDigest.js';

const MAX_DIGESTS = 256;

/** Keeps the last digests of the most recently heard daemons, for the status. Used only by the spread task. */
export class SeenDigests {
  private digests: ReadonlyMap<string, PeerDigest> = new Map();

  public note(entry: PeerDigest): void {
    const others = [...this.digests].filter(([serverId]) => serverId !== entry.serverId);
    this.digests = new Map([...others.slice(1 - MAX_DIGESTS), [entry.serverId, entry]]);
  }

  public list(): readonly PeerDigest[] {
    return [...this.digests.values()];
  }
}
