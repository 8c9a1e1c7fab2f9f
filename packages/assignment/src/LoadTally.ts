import type { Cell } from '#assignment/Cell.js';
import type { CellLoads } from '#assignment/CellLoads.js';
import { isWithdrawn } from '#assignment/IsWithdrawn.js';
import type { Member } from '#assignment/Member.js';
import type { WithdrawalTarget } from '#assignment/WithdrawalTarget.js';

/** Minimum share of its slots with which a member counts, so that no capacity is 0. */
const MIN_SHARE = 0.01;

/** Adds up the weight that each member and failure domain would carry while an assignment is planned. */
export class LoadTally {
  /** Members that may receive shards. */
  public readonly targets: readonly Member[];
  private readonly members: ReadonlyMap<string, Member>;
  private readonly capacities: ReadonlyMap<string, number>;
  private readonly domainCapacities: ReadonlyMap<string, number>;
  private readonly weights = new Map<string, number>();
  private readonly domainWeights = new Map<string, number>();

  public constructor(cell: Cell, loads: CellLoads, withdrawn: readonly WithdrawalTarget[]) {
    this.targets = cell.members.filter(
      (member) => member.state === 'active' && !isWithdrawn(member, withdrawn),
    );
    this.members = new Map(cell.members.map((member) => [member.serverId, member]));
    this.capacities = new Map(
      this.targets.map(({ serverId, slots }) => [
        serverId,
        Math.max(1, slots) * Math.max(MIN_SHARE, loads.shares.get(serverId) ?? 1),
      ]),
    );
    const domainCapacities = new Map<string, number>();
    for (const { serverId, failureDomain } of this.targets)
      addTo(domainCapacities, failureDomain, this.capacities.get(serverId) ?? 0);
    this.domainCapacities = domainCapacities;
  }

  /** Adds weight to a member and its failure domain; a negative weight takes it away. */
  public add(serverId: string, weight: number): void {
    addTo(this.weights, serverId, weight);
    addTo(this.domainWeights, this.domainOf(serverId), weight);
  }

  /** Failure domain of a member. */
  public domainOf(serverId: string): string {
    return this.members.get(serverId)?.failureDomain ?? '';
  }

  /** Slots of a member; at least 1. */
  public slotsOf(serverId: string): number {
    return Math.max(1, this.members.get(serverId)?.slots ?? 1);
  }

  /** Weight per slot of a member after it received `extra`, regardless of a cold start. */
  public utilization(serverId: string, extra = 0): number {
    return ((this.weights.get(serverId) ?? 0) + extra) / this.slotsOf(serverId);
  }

  /** Weight per slot that a target may use now, after it received `extra`. */
  public targetUtilization(serverId: string, extra: number): number {
    return ((this.weights.get(serverId) ?? 0) + extra) / (this.capacities.get(serverId) ?? MIN_SHARE);
  }

  /** Weight per slot that the targets of a member's failure domain may use now, after the member received `extra`. */
  public domainUtilization(serverId: string, extra: number): number {
    const domain = this.domainOf(serverId);
    return ((this.domainWeights.get(domain) ?? 0) + extra) / (this.domainCapacities.get(domain) ?? MIN_SHARE);
  }

  /** Weight per slot if all weight were spread evenly over the targets. */
  public fairUtilization(): number {
    const total = [...this.weights.values()].reduce((sum, weight) => sum + weight, 0);
    const slots = this.targets.reduce((sum, member) => sum + Math.max(1, member.slots), 0);
    return slots === 0 ? 0 : total / slots;
  }
}

function addTo(map: Map<string, number>, name: string, value: number): void {
  map.set(name, (map.get(name) ?? 0) + value);
}
