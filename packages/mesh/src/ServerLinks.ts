import { ByteBudget } from '#core/ByteBudget.js';
import { maxBodiesBytes } from '#mesh/MaxBodiesBytes.js';
import type { Presence } from '#mesh/Presence.js';
import { ServerLink } from '#mesh/ServerLink.js';
import type { ServerLinkSignal } from '#mesh/ServerLinkSignal.js';

/** The connections of `ServerTask` to the backend server beside it. */
export class ServerLinks {
  private readonly idHeader: string;
  private readonly signal: (link: ServerLink, signal: ServerLinkSignal) => void;
  /** Memory of the answers that are being read on all connections. */
  private readonly budget = new ByteBudget(maxBodiesBytes);
  private readonly links = new Set<ServerLink>();

  public constructor(idHeader: string, signal: (link: ServerLink, signal: ServerLinkSignal) => void) {
    this.idHeader = idHeader;
    this.signal = signal;
  }

  /** A connection that can take the order with this id now: the one used last, so that others can close for being idle. */
  public findFor(requestId: string): ServerLink | undefined {
    return [...this.links].findLast((link) => link.canCarry(requestId));
  }

  /** Whether any connection is idle. */
  public get hasIdle(): boolean {
    return [...this.links].some(({ state }) => state === 'idle');
  }

  /** Number of connections that are being opened. */
  public get connecting(): number {
    return [...this.links].filter(({ state }) => state === 'connecting').length;
  }

  public get size(): number {
    return this.links.size;
  }

  /** Opens a connection to a run of the backend server. Its signals begin later. */
  public open(presence: Presence): void {
    const link: ServerLink = new ServerLink(presence, this.idHeader, this.budget, (signal) =>
      this.signal(link, signal),
    );
    this.links.add(link);
  }

  /** Closes the idle connection that was not used for the longest time. */
  public closeIdle(): void {
    const link = [...this.links].find(({ state }) => state === 'idle');
    if (link === undefined) return;
    this.links.delete(link);
    link.destroy();
  }

  /** Makes a connection the one used last. */
  public touch(link: ServerLink): void {
    if (this.links.delete(link)) this.links.add(link);
  }

  public remove(link: ServerLink): void {
    this.links.delete(link);
  }

  /** Closes all connections; orders on them end as broken. */
  public closeAll(): void {
    for (const link of this.links) link.destroy();
  }
}
