import type { Cancel } from '#core/Cancel.js';
import { Task } from '#core/Task.js';
import { computeLongestLeaseMs } from '#ranges/ComputeLongestLeaseMs.js';
import { createRangeTable } from '#ranges/CreateRangeTable.js';
import { fenceTable } from '#ranges/FenceTable.js';
import { intersectRanges } from '#ranges/IntersectRanges.js';
import { isSameOwner } from '#ranges/IsSameOwner.js';
import { KeyLoads } from '#ranges/KeyLoads.js';
import type { KeyRange } from '#ranges/KeyRange.js';
import { listRowsOf } from '#ranges/ListRowsOf.js';
import type { RangeOwner } from '#ranges/RangeOwner.js';
import type { RangeRow } from '#ranges/RangeRow.js';
import type { RangeTable } from '#ranges/RangeTable.js';
import type { RangeTransfer } from '#ranges/RangeTransfer.js';
import { renewOwner } from '#ranges/RenewOwner.js';
import { distributeLoad } from '#ranges/DistributeLoad.js';
import { subtractRanges } from '#ranges/SubtractRanges.js';
import { transferRanges } from '#ranges/TransferRanges.js';
import type { CollectionItem } from '#store/CollectionItem.js';
import type { EraChange } from '#store/EraChange.js';
import type { CheckIn } from '#mesh/CheckIn.js';
import { collections } from '#mesh/Collections.js';
import { chooseHotKeys } from '#mesh/ChooseHotKeys.js';
import { chooseRelease } from '#mesh/ChooseRelease.js';
import { describeTransfer } from '#mesh/DescribeTransfer.js';
import type { EndOfUse } from '#mesh/EndOfUse.js';
import { emptyMeshView } from '#mesh/EmptyMeshView.js';
import { InitialAssignmentDelay } from '#mesh/InitialAssignmentDelay.js';
import type { HeldLease } from '#mesh/HeldLease.js';
import type { HeldRow } from '#mesh/HeldRow.js';
import { isGranted } from '#mesh/IsGranted.js';
import { isSameGrant } from '#mesh/IsSameGrant.js';
import { listReceivers } from '#mesh/ListReceivers.js';
import type { RangeMessage } from '#mesh/RangeMessage.js';
import { RangeRestore } from '#mesh/RangeRestore.js';
import type { RangeOptions } from '#mesh/RangeOptions.js';
import { rangeTableCodec } from '#mesh/RangeTableCodec.js';
import { ReleaseLedger } from '#mesh/ReleaseLedger.js';
import { RestoreClaim } from '#mesh/RestoreClaim.js';
import type { RangeReleaseRequest } from '#mesh/RangeReleaseRequest.js';
import { commitRangeTable } from '#mesh/CommitRangeTable.js';
import { ServerGrants } from '#mesh/ServerGrants.js';
import type { StoredRangeTable } from '#mesh/StoredRangeTable.js';
import type { MeshView } from '#mesh/MeshView.js';

const TICK_INTERVAL_MS = 250;

/** Delay before the table is read again after a restore of the store, in milliseconds. */
const READ_RETRY_MS = 250;

/** Delay between the claims of two daemons after a restore, in order of rank, so that few of them conflict, in milliseconds. */
const CLAIM_INTERVAL_MS = 40;

/**
 * Announcement intervals after a restore, or after the start, from which the keys that a backend server lists are held now.
 * Earlier announcements may have waited in a socket.
 */
const EVIDENCE_INTERVALS = 2;

/** Fencing token of a service's first table. */
const FIRST_EPOCH = 1;

/** Maximum number of rows in a reply to an announcement. */
const MAX_GRANTED_ROWS = 60;

/** Rows of an owner from which no more are moved to it for balance, so that it can still take over those of a lost one. */
const MAX_BALANCED_ROWS = 40;

/**
 * Grants keys to the backend server beside this daemon, and changes the table of key ranges by conditional writes. Owns
 * the grants, the releases in progress, and the measured load of the keys.
 */
export class RangeTask extends Task<RangeMessage> {
  private readonly options: RangeOptions;
  private readonly loads: KeyLoads;
  private readonly assignmentDelay = new InitialAssignmentDelay();
  private view: MeshView = emptyMeshView;
  private table: StoredRangeTable | undefined;
  private lease: HeldLease = { term: 0, untilMs: 0, era: 0 };
  private readonly restore = new RangeRestore();
  /** Claim on the rows of this daemon after a restore of the store. Until it ends, `lease` is the one from before. */
  private claim: RestoreClaim | undefined;
  /** Keys that the backend server holds although the restored table does not prove it. */
  private evidence: readonly KeyRange[] = [];
  /** Keys in a pending write that gives them away. */
  private transferring: readonly KeyRange[] = [];
  private incarnation = '';
  private slots = 1;
  private leaving = false;
  private readonly releases: ReleaseLedger;
  /** Revision of the first table that this run read; 0 if this daemon owned no keys in it, undefined before it is read. */
  private inheritedRevision: number | undefined;
  private readonly grants: ServerGrants;
  private writing = false;
  private stopping = false;
  private cancelTick: Cancel = () => undefined;
  private cancelGather: Cancel = () => undefined;
  private cancelGrantsEnd: Cancel = () => undefined;

  public constructor(options: RangeOptions) {
    super();
    this.options = options;
    const { logger, clock, announceEveryMs } = options;
    this.releases = new ReleaseLedger(logger, clock.monotonicMs(), announceEveryMs);
    this.loads = new KeyLoads(options.elapsed.nowMs());
    this.grants = new ServerGrants(options);
    this.scheduleTick();
  }

  public override stop(): void {
    super.stop();
    this.cancelTick();
    this.cancelGather();
    this.cancelGrantsEnd();
  }

  protected override receive(message: RangeMessage): void {
    switch (message.type) {
      case 'view':
        this.noteView(message.view);
        break;
      case 'checkIn':
        this.noteCheckIn(message.checkIn);
        break;
      case 'ended':
        this.noteEnded(message.incarnation, message.reason);
        break;
      case 'lease':
        if (!this.stopping) this.noteLease(message.lease);
        break;
      case 'eraChanged':
        this.noteEra(message.change);
        break;
      case 'restored':
        if (message.era === this.restore.currentEra) this.noteRestored(message.item);
        break;
      case 'demanded':
        this.loads.add(message.key, message.workMs);
        return;
      case 'release':
        this.release(message.requests);
        break;
      case 'settled':
        this.noteWritten(message.item);
        break;
      case 'tick':
        this.tick();
        break;
      case 'due':
        break;
      case 'stopRequested':
        this.grants.prepareRestart();
        this.sendGrant();
        break;
      case 'stopping':
        message.reply(this.listOwnRows().length > 0 && this.grants.hasEnded);
        this.stopping = true;
        this.lease = { ...this.lease, untilMs: 0 };
        this.claim?.noteLease(undefined);
        break;
    }
    this.changeTable();
    this.replyIfDue();
    this.awaitGrantsEnd();
    this.reportGranted();
  }

  private get service(): string {
    return this.options.identity.service;
  }

  private get owner(): RangeOwner {
    const { serverId } = this.options.identity;
    return { serverId, term: this.lease.term, incarnation: this.incarnation };
  }

  private isKeyed(): boolean {
    return this.view.routes?.table.services.get(this.service)?.keyed === true;
  }

  private noteView(view: MeshView): void {
    this.view = view;
    const table = view.tables.get(this.service);
    if (table !== undefined) this.adopt(table);
    else if (view.complete) this.noteFirstTable(0);
    if (this.isKeyed() && this.incarnation !== '') this.options.onKeyed();
  }

  private noteLease(lease: HeldLease): void {
    if (this.claim !== undefined && lease.era === this.restore.currentEra) this.claim.noteLease(lease);
    else this.lease = lease;
  }

  /**
   * Keeps the rows that this daemon owns, as the restored table may name an earlier owner, and reads that table. A daemon
   * whose lease has lapsed keeps none: others may have taken its keys over, and the store has forgotten it.
   */
  private noteEra({ era, isFirst }: EraChange): void {
    const { clock, timings, logger } = this.options;
    const nowMs = clock.monotonicMs();
    this.claim ??= isFirst ? undefined : this.createClaim();
    this.restore.noteEra(era, isFirst, nowMs, computeLongestLeaseMs(timings));
    this.evidence = [];
    if (isFirst) return;
    const rank = listReceivers(this.view, this.service).findIndex(
      ({ serverId }) => serverId === this.options.identity.serverId,
    );
    this.claim?.restart(nowMs + Math.max(0, rank) * CLAIM_INTERVAL_MS);
    logger.log('rowsKept', { step: 'move', era, rows: this.claim?.rows.length ?? 0 });
    if (this.isKeyed()) this.readRestored(era);
  }

  private createClaim(): RestoreClaim | undefined {
    const { table, lease } = this;
    if (table === undefined || lease.untilMs <= this.now() || !this.isFenced(table)) return undefined;
    const own = listRowsOf(table.table, this.options.identity.serverId).filter(
      (row) => row.term === lease.term && this.restore.isProven(row),
    );
    const rows = subtractRanges(own, this.transferring);
    return rows.length === 0 ? undefined : new RestoreClaim(rows);
  }

  private readRestored(era: number): void {
    const { store, clock } = this.options;
    void store.get(collections.ranges, this.service).then((result) =>
      result.caseOf({
        Left: () => {
          clock.schedule(READ_RETRY_MS, () => {
            if (era === this.restore.currentEra) this.readRestored(era);
          });
        },
        Right: (item) => this.post({ type: 'restored', era, item }),
      }),
    );
  }

  private noteRestored(item: CollectionItem | undefined): void {
    if (item !== undefined) {
      this.adoptItem(item);
      return;
    }
    this.options.logger.log('tableMissing', { step: 'store', service: this.service });
    if (this.claim === undefined) {
      if (this.table !== undefined && this.restore.isOutdated(this.table.revision)) this.table = undefined;
      return;
    }
    const receivers = listReceivers(this.view, this.service);
    // The rows of this table are not proven, so that no daemon grants one before it has been claimed.
    const table = createRangeTable(this.service, receivers.length === 0 ? [this.owner] : receivers);
    this.claim.noteMissing(table);
  }

  /** Writes the claimed rows into the restored table, or gives them up once the lease under which they are granted has ended. */
  private writeClaim(claim: RestoreClaim): void {
    if (this.lease.untilMs <= this.now()) {
      this.options.logger.log('rowsGivenUp', { step: 'move', rows: claim.rows.length });
      this.endClaim(claim);
      return;
    }
    const claimable = claim.findClaimable(this.options.clock.monotonicMs(), this.now());
    if (this.writing || claimable === undefined) return;
    const { table, revision } = claimable.table;
    const next = this.restore.claim(table, { ...this.owner, term: claimable.lease.term }, claim.rows);
    if (next === table) this.endClaim(claim);
    else this.write(next, revision, 'keysClaimed');
  }

  private endClaim({ table, lease }: RestoreClaim): void {
    this.lease = lease ?? this.lease;
    this.claim = undefined;
    this.evidence = [];
    this.table = undefined;
    if (table !== undefined && table.revision > 0) this.adopt(table);
  }

  private noteCheckIn({ incarnation, holds, released, leaving, slots, reply }: CheckIn): void {
    if (incarnation !== this.incarnation) {
      this.incarnation = incarnation;
      this.releases.clear();
      this.grants.noteNewRun();
      this.evidence = [];
    }
    this.noteEvidence(holds);
    // A server that counted as ended and announces itself again keeps the keys that it was not yet told to release.
    if (this.leaving && !leaving) this.releases.cancelPlanned();
    this.leaving = leaving;
    this.slots = slots;
    this.releases.noteAnnounced(holds, released, this.options.clock.monotonicMs());
    if (this.isKeyed()) this.options.onKeyed();
    this.sendGrant();
    this.grants.hold(reply);
    this.options.clock.schedule(this.grants.replyDelayMs, () => this.post({ type: 'due' }));
  }

  /**
   * Notes the keys that the backend server holds. After a restore they prove that no other one holds them, also if a former
   * process of this daemon granted them.
   */
  private noteEvidence(holds: readonly HeldRow[]): void {
    for (const { epoch } of holds) this.restore.noteToken(epoch);
    const ageMs = this.restore.ageMs(this.options.clock.monotonicMs());
    const isCurrent = ageMs >= EVIDENCE_INTERVALS * this.options.announceEveryMs;
    this.evidence = isCurrent ? holds.filter((row) => !this.restore.isProven(row)) : [];
  }

  /**
   * Replies to the waiting announcement if the reply is due or the keys have changed. Until then the reply is held back,
   * so that a change of the keys reaches the backend server at once instead of after its next announcement.
   */
  private replyIfDue(): void {
    if (!this.grants.hasOpenReply) return;
    if (!this.grants.isReplyDue && (this.writing || !this.hasChanged())) return;
    this.sendGrant();
  }

  private hasChanged(): boolean {
    if (this.table === undefined || this.leaving || !this.isKeyed()) return true;
    if (!this.isFenced(this.table)) return false;
    // While the backend server still holds keys that it was told to release, it announces itself within 100 ms of a reply.
    if (this.releases.hasTold) return true;
    return !isSameGrant(this.listGrantable(), this.grants.rows);
  }

  /** Replies to the announcement that waits, if there is one. */
  private sendGrant(): void {
    if (!this.grants.hasOpenReply) return;
    const { incarnation } = this;
    const { term, untilMs } = this.lease;
    const rows = this.listGrantable();
    const holdMs = this.grants.computeHoldMs(untilMs - this.now());
    if (!this.isKeyed() || this.table === undefined || !this.isFenced(this.table) || holdMs === 0)
      this.grants.refuse();
    else this.releases.noteTold(this.grants.give(rows, holdMs, { incarnation, term }));
  }

  /** Lets the keys of a run that is not used any longer move, once it released them or its grants have run out. */
  private noteEnded(incarnation: string, reason: EndOfUse): void {
    if (incarnation !== this.incarnation) return;
    const wasLeaving = this.leaving;
    this.leaving = true;
    // A server that leaves is still told to release its keys. It may close its port before its last requests end.
    if (reason !== 'unreachable' || wasLeaving || !this.isKeyed()) return;
    // Another grant would only delay the move if the server has ended.
    this.grants.refuse();
    const keysFreeMs = Math.ceil(this.options.clock.wallMs() + this.grants.leftMs);
    this.options.onUnreachable({ incarnation, keysFreeMs });
  }

  /** Moves keys that a server does not release as soon as its grants have ended. */
  private awaitGrantsEnd(): void {
    this.cancelGrantsEnd();
    if (this.releases.isEmpty || this.grants.hasEnded) return;
    const { clock } = this.options;
    this.cancelGrantsEnd = clock.schedule(this.grants.leftMs, () => this.post({ type: 'due' }));
  }

  private tick(): void {
    this.scheduleTick();
    if (!this.isKeyed()) return;
    const rows = this.listOwnRows();
    this.options.onFacts({
      incarnation: this.incarnation,
      workMsPerSecond: rows.reduce((sum, row) => sum + this.loads.sum(row, this.now()), 0),
      slots: this.slots,
      accepts: this.isInUse && !this.mustLeave() && this.lease.untilMs > this.now(),
      mayRelease: rows.length > 0 && this.releases.isEmpty && !this.writing,
    });
    if (this.table === undefined) this.createTable();
  }

  /** Creates the table with all live servers as owners, if this daemon is the first of them in rank. */
  private createTable(): void {
    if (!this.view.complete || this.lease.term === 0 || this.writing) return;
    const receivers = listReceivers(this.view, this.service);
    const rank = receivers.findIndex(({ serverId }) => serverId === this.options.identity.serverId);
    if (!this.assignmentDelay.isDue(receivers.length, rank, this.now())) return;
    if (!this.mayDivide()) return;
    const epoch = Math.max(FIRST_EPOCH, this.restore.nextToken);
    this.write(createRangeTable(this.service, receivers, epoch), 0, 'keysDivided');
  }

  /**
   * Whether a missing table proves that nobody holds keys. After a restore it may have been lost, which this process cannot
   * know if it started later, but daemons that started earlier say so in their entries.
   */
  private mayDivide(): boolean {
    if (this.restore.hasSettled(this.options.clock.monotonicMs())) return true;
    const entries = [...this.view.servers.values()].filter(({ service }) => service === this.service);
    const wasRestored = entries.some(({ bornEra = 0 }) => bornEra < this.restore.currentEra);
    return !this.restore.hasChanged && !wasRestored;
  }

  /** Whether a run of the backend server is known that neither leaves nor is unreachable. */
  private get isInUse(): boolean {
    return this.incarnation !== '' && !this.leaving;
  }

  private mustLeave(): boolean {
    return this.leaving || this.view.evacuated.has(this.options.identity.failureDomain);
  }

  /** Starts the next due change of the table. At most one write is in progress. */
  private changeTable(): void {
    if (this.claim !== undefined) {
      this.writeClaim(this.claim);
      return;
    }
    const { table } = this;
    if (table === undefined || this.writing || this.lease.untilMs <= this.now()) return;
    if (this.mustLeave()) this.releaseAll(table.table);
    if (this.grants.hasEnded) this.releases.noteGrantsEnded();
    const renewed = this.isInUse ? this.renewOwner(table.table) : table.table;
    if (renewed !== table.table) {
      this.write(renewed, table.revision, 'ownerRenewed');
      return;
    }
    const claimed = this.claimProvable(table.table);
    if (claimed !== table.table) {
      this.write(claimed, table.revision, 'keysClaimed');
      return;
    }
    const gatherMs = this.mustLeave() ? 0 : this.releases.gatherMs(this.options.clock.monotonicMs());
    if (gatherMs > 0) {
      this.gatherFor(gatherMs);
      return;
    }
    const free = this.releases.listFree();
    if (intersectRanges(free, this.listProven(table.table)).length > 0) this.transfer(table, free);
    else if (!this.isFenced(table)) this.write(fenceTable(table.table), table.revision, 'tableFenced');
  }

  /** Waits until further keys are released, so that one write of the table moves them all. */
  private gatherFor(delayMs: number): void {
    this.cancelGather();
    this.cancelGather = this.options.clock.schedule(delayMs, () => this.post({ type: 'due' }));
  }

  /** Renews the proven rows of this daemon; the others may be held by a later owner that the restored table does not name. */
  private renewOwner(table: RangeTable): RangeTable {
    if (this.restore.currentEra === 0) return renewOwner(table, this.owner);
    const outdated = this.listProven(table).filter((row) => !isSameOwner(row, this.owner));
    if (outdated.length === 0) return table;
    return transferRanges(
      this.restore.raise(table),
      outdated.map(({ from, to }) => ({ from, to, owner: this.owner, handover: '' })),
    );
  }

  /**
   * Claims the keys that the backend server holds, and the other rows of this daemon once all grants that were given before
   * the restore have expired.
   */
  private claimProvable(table: RangeTable): RangeTable {
    if (this.restore.currentEra === 0 || this.incarnation === '') return table;
    const own = this.restore.hasSettled(this.options.clock.monotonicMs())
      ? listRowsOf(table, this.options.identity.serverId).filter((row) => !this.restore.isProven(row))
      : [];
    const held = this.isInUse ? this.evidence : [];
    return this.restore.claim(table, this.owner, [...held, ...subtractRanges(own, held)]);
  }

  /** Lists the rows of this daemon that no other one can hold; all of its rows unless the store was restored. */
  private listProven(table: RangeTable): readonly RangeRow[] {
    return listRowsOf(table, this.options.identity.serverId).filter((row) => this.restore.isProven(row));
  }

  /** Transfers released keys to their receivers, except those that another daemon took over during the release. */
  private transfer({ table, revision }: StoredRangeTable, transfers: readonly RangeTransfer[]): void {
    const own = intersectRanges(transfers, this.listProven(table));
    this.options.logger.log('transfer', describeTransfer(transfers, own));
    this.transferring = own;
    this.write(transferRanges(this.restore.raise(table), own), revision, 'keysTransferred');
  }

  /**
   * Whether the table was written since this run first read it. Until then, a write that a former run of this daemon sent
   * could still be carried out and transfer keys that this run grants.
   */
  private isFenced({ revision }: StoredRangeTable): boolean {
    return revision > (this.inheritedRevision ?? revision);
  }

  private releaseAll(table: RangeTable): void {
    const unreleased = this.releases.subtractFrom(this.listProven(table));
    if (unreleased.length === 0) return;
    const others = listReceivers(this.view, this.service).filter(
      ({ serverId }) => serverId !== this.options.identity.serverId,
    );
    const transfers = distributeLoad(unreleased, others, this.loads, this.now());
    if (transfers.length === 0) return;
    this.options.logger.log('releaseAll', {
      step: 'move',
      rows: unreleased.length,
      receivers: others.length,
    });
    this.releases.plan(transfers);
  }

  private release(requests: readonly RangeReleaseRequest[]): void {
    if (!this.releases.isEmpty) return;
    const hot = chooseHotKeys(this.listGrantable(), this.loads, requests, this.now());
    if (hot !== undefined) this.planRelease(hot.range, hot.to);
    for (const request of requests) {
      if (request.to === hot?.to) continue;
      const range = chooseRelease(this.listGrantable(), this.loads, request, this.now());
      if (range !== undefined) this.planRelease(range, request.to);
    }
  }

  private planRelease({ from, to }: KeyRange, serverId: string): void {
    const owner = listReceivers(this.view, this.service).find((each) => each.serverId === serverId);
    if (owner === undefined) return;
    const rows = this.table === undefined ? 0 : listRowsOf(this.table.table, serverId).length;
    if (rows >= MAX_BALANCED_ROWS) {
      this.options.logger.log('releaseOmitted', { step: 'move', peer: serverId, rows });
      return;
    }
    this.options.logger.log('release', { step: 'move', from, to, peer: serverId });
    this.releases.plan([{ from, to, owner }]);
  }

  private write(next: RangeTable, ifRevision: number, event: string): void {
    this.writing = true;
    this.options.logger.log(event, {
      step: 'move',
      epoch: next.lastEpoch,
      rows: next.rows.length,
      ifRevision,
    });
    const { store, clock, logger } = this.options;
    void commitRangeTable(store, clock, logger, next, ifRevision).then((item) =>
      this.post({ type: 'settled', item }),
    );
  }

  private noteWritten(item: CollectionItem | undefined): void {
    this.writing = false;
    this.transferring = [];
    if (item !== undefined) this.adoptItem(item);
  }

  private adoptItem(item: CollectionItem): void {
    rangeTableCodec.decode(item.value).caseOf({
      Left: (message) => this.options.logger.log('tableMalformed', { step: 'store', message }),
      Right: (table) => this.adopt({ table, revision: item.revision }),
    });
  }

  private adopt(table: StoredRangeTable): void {
    if (this.restore.isOutdated(table.revision)) return;
    if (this.claim !== undefined) {
      this.claim.noteTable(table);
      return;
    }
    if (this.table !== undefined && this.table.revision >= table.revision) return;
    this.table = table;
    this.restore.noteToken(table.table.lastEpoch);
    const mine = listRowsOf(table.table, this.options.identity.serverId);
    this.releases.retain(mine);
    this.noteFirstTable(mine.length > 0 ? table.revision : 0);
  }

  private noteFirstTable(inheritedRevision: number): void {
    if (this.inheritedRevision !== undefined) return;
    this.inheritedRevision = inheritedRevision;
    if (inheritedRevision === 0) this.grants.noteNothingInherited();
  }

  private listOwnRows(): readonly RangeRow[] {
    if (this.table === undefined) return [];
    return (this.claim?.rows ?? this.listProven(this.table.table)).filter((row) =>
      isSameOwner(row, this.owner),
    );
  }

  private listGrantable(): readonly RangeRow[] {
    const rows = this.releases.subtractFrom(this.listOwnRows());
    if (rows.length > MAX_GRANTED_ROWS)
      this.options.logger.log('rowsOmitted', { step: 'move', rows: rows.length, limit: MAX_GRANTED_ROWS });
    return rows.slice(0, MAX_GRANTED_ROWS);
  }

  private reportGranted(): void {
    const { moving } = this.releases;
    const expected = subtractRanges(this.listOwnRows(), moving);
    const held = expected.filter((row) => isGranted(row, this.grants.rows));
    this.options.onGranted({ held, untilMs: this.grants.untilMs, expected, moving });
  }

  private now(): number {
    return this.options.elapsed.nowMs();
  }

  private scheduleTick(): void {
    this.cancelTick = this.options.clock.schedule(TICK_INTERVAL_MS, () => this.post({ type: 'tick' }));
  }
}
