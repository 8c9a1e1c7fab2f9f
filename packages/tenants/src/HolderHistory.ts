import { chooseQuotaHolder } from '#tenants/ChooseQuotaHolder.js';

/** Number of sets of daemons that are remembered; of tenants held in all of them, the start is known less exactly. */
const MAX_SETS = 16;

interface DaemonSet {
  readonly serverIds: readonly string[];
  readonly sinceMs: number;
}

/** The daemons of the view, and those of earlier views, from which it follows since when a daemon holds a quota. */
export class HolderHistory {
  private sets: readonly DaemonSet[] = [];
  private readonly holders = new Map<string, string | undefined>();
  private readonly starts = new Map<string, number | undefined>();

  /** Notes the daemons of a view; returns whether they differ from the last ones. `sinceMs` is when they became valid. */
  public note(serverIds: readonly string[], sinceMs: number): boolean {
    const sorted = [...serverIds].sort();
    const last = this.sets.at(-1)?.serverIds;
    if (last?.length === sorted.length && last.every((id, index) => id === sorted[index])) return false;
    this.sets = [...this.sets, { serverIds: sorted, sinceMs }].slice(-MAX_SETS);
    this.clearHolders();
    return true;
  }

  /** Returns the daemons of the current view in the order of their ids. */
  public get serverIds(): readonly string[] {
    return this.sets.at(-1)?.serverIds ?? [];
  }

  /** Returns the holder of a tenant's quota in the current view. */
  public findHolder(tenant: string): string | undefined {
    if (this.holders.has(tenant)) return this.holders.get(tenant);
    const holder = chooseQuotaHolder(this.serverIds, tenant);
    this.holders.set(tenant, holder);
    return holder;
  }

  /** Returns the time since which a daemon has been the holder without interruption; undefined if it is not. */
  public heldSinceMs(serverId: string, tenant: string): number | undefined {
    if (this.findHolder(tenant) !== serverId) return undefined;
    if (this.starts.has(tenant)) return this.starts.get(tenant);
    const before = this.sets.findLastIndex(
      ({ serverIds }) => chooseQuotaHolder(serverIds, tenant) !== serverId,
    );
    const startMs = this.sets[before + 1]?.sinceMs;
    this.starts.set(tenant, startMs);
    return startMs;
  }

  /**
   * Lists the daemons that may still act as the holder of a tenant that this daemon holds: the holders in views of the
   * last `ageMs`, and those next in order, which preceded it if several daemons have joined. Undefined if one of them is
   * no longer in the view.
   */
  public listRivals(
    serverId: string,
    tenant: string,
    ageMs: number,
    nowMs: number,
  ): readonly string[] | undefined {
    const recent = this.sets.filter(
      (_, index) => (this.sets[index + 1]?.sinceMs ?? Infinity) >= nowMs - ageMs,
    );
    const former = recent.map(({ serverIds }) => chooseQuotaHolder(serverIds, tenant));
    const first = this.chooseExcept([serverId], tenant);
    const second = this.chooseExcept([serverId, first ?? ''], tenant);
    const rivals = [...new Set([...former, first, second])].filter(
      (each): each is string => each !== undefined && each !== serverId,
    );
    return rivals.every((each) => this.serverIds.includes(each)) ? rivals : undefined;
  }

  private chooseExcept(excluded: readonly string[], tenant: string): string | undefined {
    return chooseQuotaHolder(
      this.serverIds.filter((each) => !excluded.includes(each)),
      tenant,
    );
  }

  /** Forgets the holders that were found. Called when the tenants change, so that their number stays bounded. */
  public clearHolders(): void {
    this.holders.clear();
    this.starts.clear();
  }
}
