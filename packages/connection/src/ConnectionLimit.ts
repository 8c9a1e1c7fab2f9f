/**
 * Chooses which connections of callers end when there are too many: first those on which no request was read yet, then those
 * that have been idle for longest. Connections with open requests are never chosen.
 */
export class ConnectionLimit<C> {
  private readonly max: number;
  /** In the order of their arrival. */
  private readonly unused = new Set<C>();
  /** In the order in which they became idle. */
  private readonly idle = new Set<C>();
  private readonly busy = new Set<C>();

  public constructor(max: number) {
    this.max = max;
  }

  /** Number of open connections. */
  public get size(): number {
    return this.unused.size + this.idle.size + this.busy.size;
  }

  /** Adds a connection, and returns the one that has to end for it; this is the new one if all others are in use. */
  public add(connection: C): C | undefined {
    const victim = this.size < this.max ? undefined : (first(this.unused) ?? first(this.idle) ?? connection);
    if (victim !== undefined) this.remove(victim);
    if (victim !== connection) this.unused.add(connection);
    return victim;
  }

  /** Notes that a request was read on a connection. */
  public noteBusy(connection: C): void {
    const isKnown = this.unused.delete(connection) || this.idle.delete(connection);
    if (isKnown) this.busy.add(connection);
  }

  /** Notes that a connection has no open request any longer. */
  public noteIdle(connection: C): void {
    if (this.busy.delete(connection)) this.idle.add(connection);
  }

  public remove(connection: C): void {
    this.unused.delete(connection);
    this.idle.delete(connection);
    this.busy.delete(connection);
  }

  /** Returns the connections without an open request. */
  public listQuiet(): readonly C[] {
    return [...this.unused, ...this.idle];
  }
}

function first<C>(connections: ReadonlySet<C>): C | undefined {
  const [found] = connections;
  return found;
}
