import type { Either } from 'purify-ts';
import { createObjectCodec } from '#codec/CreateObjectCodec.js';
import { flagCodec } from '#codec/FlagCodec.js';
import type { Cancel } from '#core/Cancel.js';
import type { RouterError } from '#core/RouterError.js';
import { Task } from '#core/Task.js';
import { countKeys } from '#ranges/CountKeys.js';
import { isTermEnded } from '#ranges/IsTermEnded.js';
import { LeaseMonitor } from '#ranges/LeaseMonitor.js';
import type { RangeOwnerLoad } from '#ranges/RangeOwnerLoad.js';
import { planReleases } from '#ranges/PlanReleases.js';
import type { RangeRow } from '#ranges/RangeRow.js';
import { splitAmong } from '#ranges/SplitAmong.js';
import { transferRanges } from '#ranges/TransferRanges.js';
import type { CollectionItem } from '#store/CollectionItem.js';
import type { CollectionListing } from '#store/CollectionListing.js';
import type { CollectionPutResult } from '#store/CollectionPutResult.js';
import { collections } from '#mesh/Collections.js';
import { createEmptyLease } from '#mesh/CreateEmptyLease.js';
import { emptyMeshView } from '#mesh/EmptyMeshView.js';
import type { LeaseEntry } from '#mesh/LeaseEntry.js';
import { listReceivers } from '#mesh/ListReceivers.js';
import type { PlannerMessage } from '#mesh/PlannerMessage.js';
import type { PlannerOptions } from '#mesh/PlannerOptions.js';
import { rangeTableCodec } from '#mesh/RangeTableCodec.js';
import { readLease } from '#mesh/ReadLease.js';
import type { Resignation } from '#mesh/Resignation.js';
import { resignationCodec } from '#mesh/ResignationCodec.js';
import { rpcMethods } from '#mesh/RpcMethods.js';
import type { TableView } from '#mesh/TableView.js';
import type { MeshView } from '#mesh/MeshView.js';

/** Time between two plans, in milliseconds. */
const PLAN_MS = 3_000;

/** A backend server that joins without keys is planned for after this time, in milliseconds. */
const JOIN_MS = 300;

/** A lease record that is older says nothing about the load, in milliseconds. */
const STALE_MS = 8_000;

/** A daemon that has listed the leases within this time plans, in milliseconds. */
const LISTED_MS = 2 * PLAN_MS + 1_000;

/** An election or plan that has not ended after this time is given up, in milliseconds. */
const LONGEST_PLAN_MS = 10_000;

/** Time in which holders renew their leases once the store can be read again, in milliseconds. */
const RETURN_MS = 2_500;

/** Time to the next step of a takeover, in milliseconds. */
const STEP_MS = 50;

/** Time for the table that another daemon wrote to reach this one, in milliseconds. */
const CONFLICT_MS = 300;

const pingReply = createObjectCodec({ plans: flagCodec });

/**
 * Plans the keys of this daemon's service: takes over those of lost daemons, and asks busy owners to give keys away.
 * One daemon does so at a time, the first in rank that can be reached and reads the leases; two at once do no harm, as
 * each change is a conditional write.
 */
export class PlannerTask extends Task<PlannerMessage> {
  private readonly options: PlannerOptions;
  private readonly watch: LeaseMonitor;
  private view: MeshView = emptyMeshView;
  private busy = false;
  /** Monotonic time of the last election that began here, and of the last listing of leases that succeeded. */
  private electedMs = 0;
  private listedMs = -Infinity;
  /** Monotonic time since which each listing of leases has succeeded. */
  private readableSinceMs: number | undefined;
  private joining = false;
  /** Owners whose revocation met another record than the one that was read; the others go first. */
  private unrevoked: ReadonlySet<string> = new Set();
  private readonly resignations = new Map<string, Resignation>();
  private cancelTick: Cancel = () => undefined;

  public constructor(options: PlannerOptions) {
    super();
    this.options = options;
    this.watch = new LeaseMonitor(options.terms);
    this.schedule(PLAN_MS);
  }

  public override stop(): void {
    super.stop();
    this.cancelTick();
  }

  protected override receive(message: PlannerMessage): void {
    switch (message.type) {
      case 'view':
        this.view = message.view;
        this.noteJoining();
        return;
      case 'tick':
        this.schedule(PLAN_MS);
        if (!this.isBusy()) this.elect(0);
        return;
      case 'pinged':
        if (message.plans) this.busy = false;
        else this.elect(message.rank + 1);
        return;
      case 'asked':
        message.reply(this.options.clock.monotonicMs() - this.listedMs < LISTED_MS);
        return;
      case 'resigned':
        this.noteResignation(message.value);
        return;
      case 'listed':
        this.noteListing(message.table, message.result);
        return;
      case 'revoked':
        this.noteRevoked(message.serverId, message.result);
        return;
      case 'written':
        this.finish();
        message.result.ifRight(({ type }) => this.schedule(type === 'accepted' ? STEP_MS : CONFLICT_MS));
    }
  }

  private get service(): string {
    return this.options.place.service;
  }

  private noteJoining(): void {
    const table = this.view.tables.get(this.service);
    if (table === undefined) return;
    const owners = new Set(table.table.rows.map(({ serverId }) => serverId));
    const joining = listReceivers(this.view, this.service).some(({ serverId }) => !owners.has(serverId));
    if (joining && !this.joining) this.schedule(JOIN_MS);
    this.joining = joining;
  }

  private noteResignation(value: unknown): void {
    resignationCodec.decode(value).caseOf({
      Left: (message) => this.options.logger.log('resignationMalformed', { step: 'takeover', message }),
      Right: (resignation) => {
        this.resignations.set(resignation.serverId, resignation);
        this.schedule(JOIN_MS);
      },
    });
  }

  /** Whether the record still is that of the run that gave up its term. */
  private hasResigned(serverId: string, lease: LeaseEntry | undefined): boolean {
    const resignation = this.resignations.get(serverId);
    if (resignation === undefined || lease === undefined) return false;
    const { term, processId } = lease.record;
    return resignation.term === term && resignation.processId === processId;
  }

  private isBusy(): boolean {
    return this.busy && this.options.clock.monotonicMs() - this.electedMs < LONGEST_PLAN_MS;
  }

  /** Asks the daemons before this one whether they plan: one that cannot read the leases does not. */
  private elect(rank: number): void {
    const table = this.view.tables.get(this.service);
    const receivers = listReceivers(this.view, this.service);
    const own = receivers.findIndex(({ serverId }) => serverId === this.options.place.serverId);
    if (table === undefined || own < 0) {
      this.busy = false;
      return;
    }
    if (rank === 0) this.electedMs = this.options.clock.monotonicMs();
    this.busy = true;
    const before = receivers[rank];
    if (rank >= own || before === undefined) {
      this.list(table);
      return;
    }
    const address = this.view.servers.get(before.serverId)?.address ?? '';
    this.options.call(address, rpcMethods.ping, {}, (result) =>
      this.post({ type: 'pinged', rank, plans: isPlanning(result) }),
    );
  }

  private list(table: TableView): void {
    void this.options.store
      .list(collections.leases)
      .then((result) => this.post({ type: 'listed', table, result }));
  }

  private noteListing(table: TableView, result: Either<RouterError, CollectionListing>): void {
    result.caseOf({
      Left: () => {
        this.readableSinceMs = undefined;
        this.finish();
      },
      Right: ({ items }) => {
        this.listedMs = this.options.clock.monotonicMs();
        this.readableSinceMs ??= this.listedMs;
        this.plan(table, items);
      },
    });
  }

  private plan(table: TableView, items: readonly CollectionItem[]): void {
    const leases = this.readLeases(items);
    const owners = new Set(table.table.rows.map(({ serverId }) => serverId));
    const nowMs = this.options.clock.monotonicMs();
    this.watch.retain(new Set([...owners, ...leases.keys()]));
    for (const id of new Set([...owners, ...leases.keys()]))
      this.watch.note(id, leases.get(id)?.revision ?? 0, nowMs);
    if (this.takeOver(table, leases) || this.revoke(owners, leases, nowMs)) return;
    this.finish();
    this.balance(owners, leases, nowMs);
  }

  /** Reads the leases of this service. One that cannot be read holds nothing, but ends by its revision like any other. */
  private readLeases(items: readonly CollectionItem[]): ReadonlyMap<string, LeaseEntry> {
    const entries = items.map((item): LeaseEntry & { readonly name: string } => {
      const { name, revision } = item;
      const record = readLease(item).caseOf({
        Left: (message) => {
          this.options.logger.log('leaseMalformed', { step: 'lease', name, message });
          return createEmptyLease(name, this.service);
        },
        Right: (read) => read,
      });
      return { name, record, revision };
    });
    return new Map(
      entries.filter(({ record }) => record.service === this.service).map((entry) => [entry.name, entry]),
    );
  }

  /** Gives the keys of ended terms to the others. */
  private takeOver(table: TableView, leases: ReadonlyMap<string, LeaseEntry>): boolean {
    const lost = table.table.rows.filter((row) => isTermEnded(row.term, leases.get(row.serverId)?.record));
    const receivers = this.listLive(lost, leases);
    if (lost.length === 0 || receivers.length === 0) return false;
    const next = transferRanges(table.table, splitAmong(lost, receivers));
    this.options.logger.log('takeover', {
      step: 'takeover',
      rows: lost.length,
      keys: countKeys(lost),
      from: [...new Set(lost.map(({ serverId }) => serverId))].join(','),
      receivers: receivers.length,
      revision: table.revision,
    });
    void this.options.store
      .put(collections.ranges, this.service, rangeTableCodec.encode(next), table.revision)
      .then((result) => this.post({ type: 'written', result }));
    return true;
  }

  private listLive(
    lost: readonly RangeRow[],
    leases: ReadonlyMap<string, LeaseEntry>,
  ): ReturnType<typeof listReceivers> {
    const gone = new Set(lost.map(({ serverId }) => serverId));
    const nowMs = this.options.clock.monotonicMs();
    return listReceivers(this.view, this.service).filter(
      ({ serverId, term }) =>
        !gone.has(serverId) &&
        leases.get(serverId)?.record.term === term &&
        this.watch.ageMs(serverId, nowMs) < STALE_MS,
    );
  }

  /** Revokes the lease of one owner that has surely ended; its keys are taken over next. */
  private revoke(
    owners: ReadonlySet<string>,
    leases: ReadonlyMap<string, LeaseEntry>,
    nowMs: number,
  ): boolean {
    // Holders that could not reach the store either renew soon; they would lose their keys to the first that did.
    const haveReturned = nowMs - (this.readableSinceMs ?? nowMs) >= RETURN_MS;
    const allEnded = [...owners].filter(
      (id) =>
        leases.get(id)?.record.revoked !== true &&
        ((haveReturned && this.watch.hasEnded(id, nowMs)) || this.hasResigned(id, leases.get(id))),
    );
    const ended = allEnded.find((id) => !this.unrevoked.has(id));
    if (ended === undefined) {
      this.unrevoked = new Set();
      return false;
    }
    const lease = leases.get(ended);
    const term = this.termInTable(ended);
    const record = lease?.record ?? createEmptyLease(ended, this.service);
    this.options.logger.log('leaseRevoke', {
      step: 'takeover',
      peer: ended,
      term,
      revision: lease?.revision ?? 0,
    });
    void this.options.store
      .put(
        collections.leases,
        ended,
        { ...record, term: Math.max(record.term, term), revoked: true },
        lease?.revision ?? 0,
      )
      .then((result) => this.post({ type: 'revoked', serverId: ended, result }));
    return true;
  }

  private noteRevoked(serverId: string, result: Either<RouterError, CollectionPutResult>): void {
    this.finish();
    result.ifRight(({ type }) => {
      if (type === 'conflict') this.unrevoked = new Set([...this.unrevoked, serverId]);
      this.schedule(STEP_MS);
    });
  }

  private termInTable(serverId: string): number {
    const rows = this.view.tables.get(this.service)?.table.rows ?? [];
    return Math.max(0, ...rows.filter((row) => row.serverId === serverId).map(({ term }) => term));
  }

  private balance(owners: ReadonlySet<string>, leases: ReadonlyMap<string, LeaseEntry>, nowMs: number): void {
    const loads = listReceivers(this.view, this.service).flatMap((owner): readonly RangeOwnerLoad[] => {
      const lease = leases.get(owner.serverId);
      if (lease?.record.accepts !== true || lease.record.revoked) return [];
      if (this.watch.ageMs(owner.serverId, nowMs) > STALE_MS) return [];
      const { workMsPerSecond, slots } = lease.record;
      return [{ owner, workMsPerSecond, slots, hasKeys: owners.has(owner.serverId) }];
    });
    for (const release of planReleases(loads)) {
      const address = this.view.servers.get(release.from.serverId)?.address;
      if (address === undefined) continue;
      const { workMsPerSecond, share } = release;
      this.options.logger.log('releaseAsked', {
        step: 'move',
        peer: release.from.serverId,
        receiver: release.to.serverId,
        workMsPerSecond: Math.round(workMsPerSecond),
      });
      this.options.call(
        address,
        rpcMethods.release,
        { to: release.to.serverId, workMsPerSecond, share, speedup: 1 },
        () => undefined,
      );
    }
  }

  private finish(): void {
    this.busy = false;
  }

  private schedule(delayMs: number): void {
    this.cancelTick();
    this.cancelTick = this.options.clock.schedule(delayMs, () => this.post({ type: 'tick' }));
  }
}

function isPlanning(reply: unknown): boolean {
  return pingReply.decode(reply).caseOf({ Left: () => false, Right: ({ plans }) => plans });
}
