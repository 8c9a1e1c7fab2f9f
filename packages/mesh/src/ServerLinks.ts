import { BodyBudget } from '#core/BodyBudget.js';
import { maxBodiesBytes } from '#mesh/MaxBodiesBytes.js';
import type { Presence } from '#mesh/Presence.js';
import { ServerLink } from '#mesh/ServerLink.js';
import type { ServerLinkSignal } from '#mesh/ServerLinkSignal.js';

/** Connection pool of `ServerTask` to the backend server beside it. */
export class ServerLinks {
  private readonly idHeader: string;
  private readonly signal: (link: ServerLink, signal: ServerLinkSignal) => void;
  /** Memory budget of the response bodies that are being read on all connections. */
  private readonly budget = new BodyBudget(maxBodiesBytes);
  private readonly links = new Set<ServerLink>();

  public constructor(idHeader: string, signal: (link: ServerLink, signal: ServerLinkSignal) => void) {
    this.idHeader = idHeader;
    this.signal = signal;
  }

  /** Returns the most recently used connection that can carry the request; this lets surplus connections become idle. */
  public findFor(requestId: string): ServerLink | undefined {
    return [...this.links].findLast((link) => link.canCarry(requestId));
  }

  /** Whether any connection is idle. */
  public get hasIdle(): boolean {
    return [...this.links].some(({ state }) => state === 'idle');
  }

  /** Number of connections that are being opened. */
  public get connectingCount(): number {
    return [...this.links].filter(({ state }) => state === 'connecting').length;
  }

  public get size(): number {
    return this.links.size;
  }

  /** Opens a connection to a run of the backend server. Its signals arrive asynchronously. */
  public open(presence: Presence): void {
    const link: ServerLink = new ServerLink(presence, this.idHeader, this.budget, (signal) =>
      this.signal(link, signal),
    );
    this.links.add(link);
  }

  /** Closes the least recently used idle connection. */
  public closeIdle(): void {
    const link = [...this.links].find(({ state }) => state === 'idle');
    if (link === undefined) return;
    this.links.delete(link);
    link.destroy();
  }

  /** Marks a connection as the most recently used one. */
  public markUsed(link: ServerLink): void {
    if (this.links.delete(link)) this.links.add(link);
  }

  public remove(link: ServerLink): void {
    this.links.delete(link);
  }

  /** Closes all connections; the requests on them end as broken. */
  public closeAll(): void {
    for (const link of this.links) link.destroy();
  }
}
