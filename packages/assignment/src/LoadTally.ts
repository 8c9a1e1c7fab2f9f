import type { Cell } from '#assignment/Cell.js';
import type { CellLoads } from '#assignment/CellLoads.js';
import { isWithdrawn } from '#assignment/IsWithdrawn.js';
import type { Member } from '#assignment/Member.js';
import type { Withdrawn } from '#assignment/Withdrawn.js';

/** Share of its slots that a member without a report may use at least, so that a capacity is never 0. */
const MIN_SHARE = 0.01;

/** Working state of one assignment: the weight that each member and failure domain would carry. */
export class LoadTally {
  /** Members that may receive shards. */
  public readonly targets: readonly Member[];
  private readonly capacities: ReadonlyMap<string, number>;
  private readonly domainCapacities: ReadonlyMap<string, number>;
  private readonly domains: ReadonlyMap<string, string>;
  private readonly weights = new Map<string, number>();
  private readonly domainWeights = new Map<string, number>();

  public constructor(cell: Cell, loads: CellLoads, withdrawn: readonly Withdrawn[]) {
    this.targets = cell.members.filter(
      (member) => member.state === 'active' && !isWithdrawn(member, withdrawn),
    );
    this.domains = new Map(cell.members.map((member) => [member.serverId, member.failureDomain]));
    this.capacities = new Map(
      this.targets.map(({ serverId, slots }) => [
        serverId,
        Math.max(1, slots) * Math.max(MIN_SHARE, loads.shares.get(serverId) ?? 1),
      ]),
    );
    const domainCapacities = new Map<string, number>();
    for (const { serverId, failureDomain } of this.targets)
      addTo(domainCapacities, failureDomain, this.capacityOf(serverId));
    this.domainCapacities = domainCapacities;
  }

  /** Adds weight to a member and its failure domain; a negative weight takes it away. */
  public add(serverId: string, weight: number): void {
    addTo(this.weights, serverId, weight);
    addTo(this.domainWeights, this.domains.get(serverId) ?? '', weight);
  }

  /** Weight that a member carries. */
  public weightOf(serverId: string): number {
    return this.weights.get(serverId) ?? 0;
  }

  /** Slots that a member may use; 0 if it may receive no shards. */
  public capacityOf(serverId: string): number {
    return this.capacities.get(serverId) ?? 0;
  }

  /** Weight for each usable slot of a member after it received `extra`. */
  public utilization(serverId: string, extra = 0): number {
    return (this.weightOf(serverId) + extra) / this.capacityOf(serverId);
  }

  /** Weight for each usable slot of a member's failure domain after it received `extra`. */
  public domainUtilization(serverId: string, extra = 0): number {
    const domain = this.domains.get(serverId) ?? '';
    return ((this.domainWeights.get(domain) ?? 0) + extra) / (this.domainCapacities.get(domain) ?? 1);
  }
}

function addTo(map: Map<string, number>, name: string, value: number): void {
  map.set(name, (map.get(name) ?? 0) + value);
}
