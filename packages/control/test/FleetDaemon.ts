import type { Cell } from '#assignment/Cell.js';
import type { Member } from '#assignment/Member.js';
import type { MemberFacts } from '#assignment/MemberFacts.js';
import type { ControlEvent } from '#control/ControlEvent.js';
import type { ControlPlane } from '#control/ControlPlane.js';
import type { OwnedShard } from '#control/OwnedShard.js';
import type { OwnershipUpdate } from '#control/OwnershipUpdate.js';
import type { PeerTransport } from '#rpc/PeerTransport.js';
import type { HttpObjectStore } from '#store/HttpObjectStore.js';
import type { PausableClock } from './PausableClock.js';

/** A control plane under test, with a request path that only records the events that it receives. */
export class FleetDaemon {
  public readonly serverId: string;
  public readonly transport: PeerTransport;
  public readonly store: HttpObjectStore;
  public readonly clock: PausableClock;
  public plane!: ControlPlane;
  public facts!: MemberFacts;
  public service = '';
  public isKilled = false;
  public ownership: OwnershipUpdate | undefined;
  public cell: Cell | undefined;
  /** Server id of each fence that was seen in the cell, by fence id. */
  public readonly fences = new Map<number, string>();
  public adopted: string[] = [];
  /** Versions of the catalogue in the order in which they were applied. */
  public catalogueVersions: number[] = [];
  /** Set by tests in which shards are not released. */
  public holdRelease = false;

  public constructor(
    serverId: string,
    transport: PeerTransport,
    store: HttpObjectStore,
    clock: PausableClock,
  ) {
    this.serverId = serverId;
    this.transport = transport;
    this.store = store;
    this.clock = clock;
  }

  public receive(event: ControlEvent): void {
    switch (event.type) {
      case 'ownership':
        this.ownership = event;
        return;
      case 'cell':
        if (event.cell.service !== this.service) return;
        this.cell = event.cell;
        for (const fence of event.cell.fences) this.fences.set(fence.id, fence.serverId);
        return;
      case 'catalogue':
        this.catalogueVersions.push(event.catalogue.version);
        return;
      case 'adopt':
        this.adopted.push(event.records.shardId);
        return;
      case 'release': {
        const { shardId } = event;
        const token = this.ownership?.shards.get(shardId)?.token ?? 0;
        if (!this.holdRelease) event.reply({ shardId, token, knownSince: token, window: 0, records: [] });
        return;
      }
      case 'intent':
    }
  }

  public hasLease(): boolean {
    return this.ownership !== undefined && this.clock.monotonicMs() < this.ownership.leaseEndMs;
  }

  /** Shards that the request path may use at this moment. */
  public usable(): ReadonlyMap<string, OwnedShard> {
    return this.hasLease() ? this.ownership!.shards : new Map();
  }

  public member(): Member {
    return this.cell!.members.find(({ serverId }) => serverId === this.serverId)!;
  }

  public async kill(): Promise<void> {
    if (this.isKilled) return;
    this.isKilled = true;
    this.plane.stop();
    await Promise.all([this.transport.stop(), this.store.close()]);
  }
}
