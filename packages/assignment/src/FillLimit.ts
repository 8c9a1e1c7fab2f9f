import type { Cell } from '#assignment/Cell.js';
import type { Move } from '#assignment/Move.js';
import type { MoveBudget } from '#assignment/MoveBudget.js';

const FILL_WINDOW_MS = 10_000;

/**
 * Limits the number of shards that a member or a failure domain receives for balance in 10 s: to the configured number
 * or, if larger, to the number that it owns already. One that returns empty grows by doubling, as its caches warm up.
 */
export class FillLimit {
  private readonly domains: ReadonlyMap<string, string>;
  private readonly owned = new Map<string, number>();
  private readonly received = new Map<string, number>();

  public constructor(
    cell: Cell,
    private readonly budget: MoveBudget,
    nowMs: number,
  ) {
    this.domains = new Map(cell.members.map((member) => [member.serverId, member.failureDomain]));
    for (const shard of Object.values(cell.shards)) this.count(this.owned, shard.owner);
    for (const move of budget.recent)
      if (move.reason === 'balance' && move.atMs > nowMs - FILL_WINDOW_MS) this.add(move);
  }

  /** Counts a planned move. */
  public add(move: Move): void {
    this.count(this.received, move.to);
  }

  /** Whether a member or its failure domain has reached its limit. */
  public isFull(serverId: string): boolean {
    const domain = this.domainKey(serverId);
    return (
      this.hasReached(serverId, this.budget.fillPerMember) ||
      this.hasReached(domain, this.budget.fillPerDomain)
    );
  }

  private hasReached(name: string, minimum: number): boolean {
    const received = this.received.get(name) ?? 0;
    return received >= Math.max(minimum, (this.owned.get(name) ?? 0) - received);
  }

  private count(map: Map<string, number>, serverId: string): void {
    for (const name of [serverId, this.domainKey(serverId)]) map.set(name, (map.get(name) ?? 0) + 1);
  }

  private domainKey(serverId: string): string {
    return `domain:${this.domains.get(serverId) ?? ''}`;
  }
}
