import type { Either } from 'purify-ts';
import { createObjectCodec } from '#codec/CreateObjectCodec.js';
import { flagCodec } from '#codec/FlagCodec.js';
import type { Cancel } from '#core/Cancel.js';
import type { RouterError } from '#core/RouterError.js';
import { Task } from '#core/Task.js';
import { computeLongestLeaseMs } from '#ranges/ComputeLongestLeaseMs.js';
import { computeTokenFloor } from '#ranges/ComputeTokenFloor.js';
import { countKeys } from '#ranges/CountKeys.js';
import { isTermEnded } from '#ranges/IsTermEnded.js';
import { LeaseMonitor } from '#ranges/LeaseMonitor.js';
import type { RangeOwnerLoad } from '#ranges/RangeOwnerLoad.js';
import { planReleases } from '#ranges/PlanReleases.js';
import { raiseTokens } from '#ranges/RaiseTokens.js';
import type { RangeRow } from '#ranges/RangeRow.js';
import { distributeRanges } from '#ranges/DistributeRanges.js';
import { transferRanges } from '#ranges/TransferRanges.js';
import type { CollectionItem } from '#store/CollectionItem.js';
import type { CollectionListing } from '#store/CollectionListing.js';
import type { CollectionPutResult } from '#store/CollectionPutResult.js';
import type { EraChange } from '#store/EraChange.js';
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
import type { StoredRangeTable } from '#mesh/StoredRangeTable.js';
import type { MeshView } from '#mesh/MeshView.js';

const PLAN_INTERVAL_MS = 3_000;

/** Delay of the next plan after a server without keys joined or a daemon resigned, in milliseconds. */
const JOIN_DELAY_MS = 300;

/** Age from which the load in a lease record is ignored, in milliseconds. */
const MAX_RECORD_AGE_MS = 8_000;

/** A daemon can plan if it listed the leases successfully within this time, in milliseconds. */
const LISTING_VALID_MS = 2 * PLAN_INTERVAL_MS + 1_000;

const PLAN_TIMEOUT_MS = 10_000;

/** Time that lease holders get to renew after an outage of the store, in milliseconds. */
const RENEWAL_GRACE_MS = 2_500;

/** Delay between the steps of a takeover, in milliseconds. */
const STEP_DELAY_MS = 50;

/** Delay after a write conflict, in which the table of the other writer arrives, in milliseconds. */
const CONFLICT_DELAY_MS = 300;

/** Fraction of the slots that count as free at least, so that the keys of a lost server are divided in any case. */
const MIN_FREE_FRACTION = 0.2;

const MS_PER_SECOND = 1_000;

const pingReplyCodec = createObjectCodec({ plans: flagCodec });

/**
 * Plans the key ranges of this daemon's service: takes over the ranges of lost daemons, and asks busy owners to release
 * keys. Only one daemon plans at a time: the first in rank that is reachable and can read the leases. Two planners at once
 * do no harm, as each change is a conditional write.
 */
export class PlannerTask extends Task<PlannerMessage> {
  private readonly options: PlannerOptions;
  private readonly monitor: LeaseMonitor;
  private view: MeshView = emptyMeshView;
  private planning = false;
  /** Monotonic times at which the last election began and the last listing of the leases succeeded. */
  private electionMs = 0;
  private listingMs = -Infinity;
  /** Monotonic time since which every listing of the leases has succeeded. */
  private readableSinceMs: number | undefined;
  /** Last known era of the store, and the monotonic time until which holders may still write again after its restore. */
  private era = 0;
  private suspendedUntilMs = -Infinity;
  /** Whether the restore may have happened long before this process started, so that other daemons can plan. */
  private isNew = false;
  private isJoining = false;
  /** Owners whose revocation failed by a write conflict; they are retried after the other ended owners. */
  private conflicting: ReadonlySet<string> = new Set();
  private readonly resignations = new Map<string, Resignation>();
  private cancelTick: Cancel = () => undefined;

  public constructor(options: PlannerOptions) {
    super();
    this.options = options;
    this.monitor = new LeaseMonitor(options.timings);
    this.schedule(PLAN_INTERVAL_MS);
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
        this.schedule(PLAN_INTERVAL_MS);
        if (!this.isPlanInProgress()) this.elect(0);
        return;
      case 'eraChanged':
        this.noteEra(message.change);
        return;
      case 'pinged':
        if (message.plans) this.planning = false;
        else this.elect(message.rank + 1);
        return;
      case 'asked':
        message.reply(this.canPlan());
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
        this.endPlan();
        message.result.ifRight(({ type }) =>
          this.schedule(type === 'accepted' ? STEP_DELAY_MS : CONFLICT_DELAY_MS),
        );
    }
  }

  private get service(): string {
    return this.options.identity.service;
  }

  /**
   * Suspends takeovers until holders have had time to write their leases and keys again after a restore: until then the
   * table may name earlier owners, and leases may lack renewals.
   */
  private noteEra({ era, isFirst }: EraChange): void {
    const waitMs = computeLongestLeaseMs(this.options.timings);
    this.era = era;
    this.isNew = isFirst;
    this.suspendedUntilMs = this.options.clock.monotonicMs() + waitMs;
    this.options.logger.log('takeoversSuspended', { step: 'takeover', era, waitMs: Math.round(waitMs) });
  }

  private canPlan(): boolean {
    const nowMs = this.options.clock.monotonicMs();
    if (this.isNew && nowMs < this.suspendedUntilMs) return false;
    return nowMs - this.listingMs < LISTING_VALID_MS;
  }

  private noteJoining(): void {
    const table = this.view.tables.get(this.service);
    if (table === undefined) return;
    const owners = new Set(table.table.rows.map(({ serverId }) => serverId));
    const isJoining = listReceivers(this.view, this.service).some(({ serverId }) => !owners.has(serverId));
    if (isJoining && !this.isJoining) this.schedule(JOIN_DELAY_MS);
    this.isJoining = isJoining;
  }

  private noteResignation(value: unknown): void {
    resignationCodec.decode(value).caseOf({
      Left: (message) => this.options.logger.log('resignationMalformed', { step: 'takeover', message }),
      Right: (resignation) => {
        this.resignations.set(resignation.serverId, resignation);
        this.schedule(JOIN_DELAY_MS);
      },
    });
  }

  /** Whether the lease record still belongs to the daemon run that resigned. */
  private hasResigned(serverId: string, lease: LeaseEntry | undefined): boolean {
    const resignation = this.resignations.get(serverId);
    if (resignation === undefined || lease === undefined) return false;
    const { term, processId } = lease.record;
    return resignation.term === term && resignation.processId === processId;
  }

  private isPlanInProgress(): boolean {
    return this.planning && this.options.clock.monotonicMs() - this.electionMs < PLAN_TIMEOUT_MS;
  }

  /** Asks the daemons that precede this one in rank, one after the other, whether they can plan; plans if none can. */
  private elect(rank: number): void {
    const table = this.view.tables.get(this.service);
    const receivers = listReceivers(this.view, this.service);
    const own = receivers.findIndex(({ serverId }) => serverId === this.options.identity.serverId);
    if (table === undefined || own < 0) {
      this.planning = false;
      return;
    }
    if (rank === 0) this.electionMs = this.options.clock.monotonicMs();
    this.planning = true;
    const before = receivers[rank];
    if (rank >= own || before === undefined) {
      this.listLeases(table);
      return;
    }
    const address = this.view.servers.get(before.serverId)?.address ?? '';
    this.options.call(address, rpcMethods.ping, {}, (result) =>
      this.post({ type: 'pinged', rank, plans: readPlans(result) }),
    );
  }

  private listLeases(table: StoredRangeTable): void {
    void this.options.store
      .list(collections.leases)
      .then((result) => this.post({ type: 'listed', table, result }));
  }

  private noteListing(table: StoredRangeTable, result: Either<RouterError, CollectionListing>): void {
    result.caseOf({
      Left: () => {
        this.readableSinceMs = undefined;
        this.endPlan();
      },
      Right: ({ items }) => {
        this.listingMs = this.options.clock.monotonicMs();
        this.readableSinceMs ??= this.listingMs;
        this.plan(table, items);
      },
    });
  }

  private plan(table: StoredRangeTable, items: readonly CollectionItem[]): void {
    const leases = this.readLeases(items);
    const owners = new Set(table.table.rows.map(({ serverId }) => serverId));
    const nowMs = this.options.clock.monotonicMs();
    this.monitor.retain(new Set([...owners, ...leases.keys()]));
    for (const id of new Set([...owners, ...leases.keys()]))
      this.monitor.note(id, leases.get(id)?.revision ?? 0, nowMs);
    const isSuspended = nowMs < this.suspendedUntilMs;
    if (!isSuspended && (this.takeOver(table, leases) || this.revokeEnded(owners, leases, nowMs))) return;
    this.endPlan();
    this.balanceLoad(owners, leases, nowMs);
  }

  /** Decodes the leases of this service. A malformed one becomes an empty lease, which expires like any other. */
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

  /** Transfers the ranges of ended terms to the live receivers. Returns whether a write was started. */
  private takeOver(table: StoredRangeTable, leases: ReadonlyMap<string, LeaseEntry>): boolean {
    const lost = table.table.rows.filter((row) => isTermEnded(row.term, leases.get(row.serverId)?.record));
    const receivers = this.listLiveReceivers(lost, leases);
    if (lost.length === 0 || receivers.length === 0) return false;
    const shares = receivers.map(({ serverId }) => computeRoom(leases.get(serverId)?.record));
    const current = raiseTokens(table.table, computeTokenFloor(this.era));
    const next = transferRanges(current, distributeRanges(lost, receivers, shares));
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

  private listLiveReceivers(
    lost: readonly RangeRow[],
    leases: ReadonlyMap<string, LeaseEntry>,
  ): ReturnType<typeof listReceivers> {
    const lostIds = new Set(lost.map(({ serverId }) => serverId));
    const nowMs = this.options.clock.monotonicMs();
    return listReceivers(this.view, this.service).filter(
      ({ serverId, term }) =>
        !lostIds.has(serverId) &&
        leases.get(serverId)?.record.term === term &&
        this.monitor.ageMs(serverId, nowMs) < MAX_RECORD_AGE_MS,
    );
  }

  /** Revokes the lease of one owner that has certainly ended, so that its ranges can be taken over next. */
  private revokeEnded(
    owners: ReadonlySet<string>,
    leases: ReadonlyMap<string, LeaseEntry>,
    nowMs: number,
  ): boolean {
    // After an outage of the store, live holders need some time to renew. Otherwise the first daemon that can read the store
    // would take their keys.
    const mayHaveRenewed = nowMs - (this.readableSinceMs ?? nowMs) >= RENEWAL_GRACE_MS;
    const allEnded = [...owners].filter(
      (id) =>
        leases.get(id)?.record.revoked !== true &&
        ((mayHaveRenewed && this.monitor.hasEnded(id, nowMs)) || this.hasResigned(id, leases.get(id))),
    );
    const ended = allEnded.find((id) => !this.conflicting.has(id));
    if (ended === undefined) {
      this.conflicting = new Set();
      return false;
    }
    const lease = leases.get(ended);
    const term = this.findTermInTable(ended);
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
    this.endPlan();
    result.ifRight(({ type }) => {
      if (type === 'conflict') this.conflicting = new Set([...this.conflicting, serverId]);
      this.schedule(STEP_DELAY_MS);
    });
  }

  private findTermInTable(serverId: string): number {
    const rows = this.view.tables.get(this.service)?.table.rows ?? [];
    return Math.max(0, ...rows.filter((row) => row.serverId === serverId).map(({ term }) => term));
  }

  private balanceLoad(
    owners: ReadonlySet<string>,
    leases: ReadonlyMap<string, LeaseEntry>,
    nowMs: number,
  ): void {
    const loads = listReceivers(this.view, this.service).flatMap((owner): readonly RangeOwnerLoad[] => {
      const lease = leases.get(owner.serverId);
      if (lease?.record.accepts !== true || lease.record.revoked) return [];
      if (this.monitor.ageMs(owner.serverId, nowMs) > MAX_RECORD_AGE_MS) return [];
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

  private endPlan(): void {
    this.planning = false;
  }

  private schedule(delayMs: number): void {
    this.cancelTick();
    this.cancelTick = this.options.clock.schedule(delayMs, () => this.post({ type: 'tick' }));
  }
}

/** Slots of a server that its keys leave free, by its last lease record; a full server counts for a little. */
function computeRoom(record: LeaseEntry['record'] | undefined): number {
  if (record === undefined) return 1;
  const slots = Math.max(1, record.slots);
  return Math.max(slots * MIN_FREE_FRACTION, slots - record.workMsPerSecond / MS_PER_SECOND);
}

function readPlans(reply: unknown): boolean {
  return pingReplyCodec.decode(reply).caseOf({ Left: () => false, Right: ({ plans }) => plans });
}
