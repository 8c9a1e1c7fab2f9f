import type { Cancel } from '#core/Cancel.js';
import { Task } from '#core/Task.js';
import { createRangeTable } from '#ranges/CreateRangeTable.js';
import { fenceTable } from '#ranges/FenceTable.js';
import { computeGrantMs } from '#ranges/ComputeGrantMs.js';
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
import type { CheckIn } from '#mesh/CheckIn.js';
import { chooseHotKeys } from '#mesh/ChooseHotKeys.js';
import { chooseRelease } from '#mesh/ChooseRelease.js';
import { describeTransfer } from '#mesh/DescribeTransfer.js';
import { emptyMeshView } from '#mesh/EmptyMeshView.js';
import { formatRows } from '#mesh/FormatRows.js';
import { InitialAssignmentDelay } from '#mesh/InitialAssignmentDelay.js';
import { GrantExpiry } from '#mesh/GrantExpiry.js';
import type { HeldLease } from '#mesh/HeldLease.js';
import { HeldReply } from '#mesh/HeldReply.js';
import { isGranted } from '#mesh/IsGranted.js';
import { isSameGrant } from '#mesh/IsSameGrant.js';
import { listGrantChange } from '#mesh/ListGrantChange.js';
import { listReceivers } from '#mesh/ListReceivers.js';
import type { RangeMessage } from '#mesh/RangeMessage.js';
import type { RangeOptions } from '#mesh/RangeOptions.js';
import { rangeTableCodec } from '#mesh/RangeTableCodec.js';
import { ReleaseLedger } from '#mesh/ReleaseLedger.js';
import type { RangeReleaseRequest } from '#mesh/RangeReleaseRequest.js';
import { commitRangeTable } from '#mesh/CommitRangeTable.js';
import type { StoredRangeTable } from '#mesh/StoredRangeTable.js';
import type { MeshView } from '#mesh/MeshView.js';

const TICK_INTERVAL_MS = 250;

/** Backend servers ignore replies that arrive later than this after their announcement, in milliseconds. */
const REPLY_VALID_MS = 1_000;

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
  private readonly heldReply: HeldReply;
  private readonly assignmentDelay = new InitialAssignmentDelay();
  private view: MeshView = emptyMeshView;
  private table: StoredRangeTable | undefined;
  private lease: HeldLease = { term: 0, untilMs: 0 };
  private incarnation = '';
  private slots = 1;
  private isAlive = false;
  private leaving = false;
  /** Rows of the last reply to an announcement. */
  private granted: readonly RangeRow[] = [];
  private readonly releases: ReleaseLedger;
  /** Revision of the first table that this run read; 0 if this daemon owned no keys in it, undefined before it is read. */
  private inheritedRevision: number | undefined;
  private readonly grants: GrantExpiry;
  private grantedUntilMs = 0;
  private writing = false;
  private stopping = false;
  private cancelTick: Cancel = () => undefined;
  private cancelGather: Cancel = () => undefined;

  public constructor(options: RangeOptions) {
    super();
    this.options = options;
    const { logger, clock, announceEveryMs } = options;
    this.releases = new ReleaseLedger(logger, clock.monotonicMs(), announceEveryMs);
    this.loads = new KeyLoads(options.elapsed.nowMs());
    this.heldReply = new HeldReply(options.announceEveryMs);
    this.grants = new GrantExpiry(options.clock, options.timings);
    this.scheduleTick();
  }

  public override stop(): void {
    super.stop();
    this.cancelTick();
    this.cancelGather();
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
        this.noteEnded(message.incarnation, message.proven);
        break;
      case 'lease':
        if (!this.stopping) this.lease = message.lease;
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
      case 'stopping':
        message.reply(this.listOwnRows().length > 0 && this.grants.hasEnded);
        this.stopping = true;
        this.lease = { ...this.lease, untilMs: 0 };
        break;
    }
    this.changeTable();
    this.replyIfDue();
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

  private noteCheckIn({ incarnation, holds, released, leaving, slots, reply }: CheckIn): void {
    if (incarnation !== this.incarnation) {
      this.incarnation = incarnation;
      this.releases.clear();
      this.granted = [];
    }
    this.isAlive = true;
    // A server that counted as ended and announces itself again keeps the keys that it was not yet told to release.
    if (this.leaving && !leaving) this.releases.cancelPlanned();
    this.leaving = leaving;
    this.slots = slots;
    this.releases.noteAnnounced(holds, released, this.options.clock.monotonicMs());
    if (this.isKeyed()) this.options.onKeyed();
    this.sendHeldReply();
    this.heldReply.hold(reply, this.now());
    this.options.clock.schedule(this.heldReply.holdMs, () => this.post({ type: 'due' }));
  }

  /**
   * Replies to the waiting announcement if the reply is due or the keys have changed. Until then the reply is held back,
   * so that a change of the keys reaches the backend server at once instead of after its next announcement.
   */
  private replyIfDue(): void {
    if (!this.heldReply.isWaiting) return;
    if (!this.heldReply.isDue(this.now()) && (this.writing || !this.hasChanged())) return;
    this.sendHeldReply();
  }

  private sendHeldReply(): void {
    const reply = this.heldReply.take();
    if (reply !== undefined) this.sendGrant(reply);
  }

  private hasChanged(): boolean {
    if (this.table === undefined || this.leaving || !this.isKeyed()) return true;
    if (!this.isFenced(this.table)) return false;
    // While the backend server still holds keys that it was told to release, it announces itself within 100 ms of a reply.
    if (this.releases.hasTold) return true;
    return !isSameGrant(this.listGrantable(), this.granted);
  }

  private sendGrant(reply: CheckIn['reply']): void {
    const rows = this.listGrantable();
    const holdMs = computeGrantMs(this.lease.untilMs - this.now(), this.options.timings);
    if (!this.isKeyed() || this.table === undefined || !this.isFenced(this.table) || holdMs === 0) {
      reply(undefined);
      return;
    }
    this.grants.noteGranted(holdMs);
    this.grantedUntilMs = this.now() + holdMs;
    this.logGrant(rows, holdMs);
    this.granted = rows;
    const validUntilMs = this.options.clock.monotonicMs() + REPLY_VALID_MS;
    this.releases.noteTold(Math.max(this.grants.inheritedEndMs, validUntilMs));
    reply({ rows, holdMs });
  }

  private logGrant(rows: readonly RangeRow[], holdMs: number): void {
    const { added, removed } = listGrantChange(this.granted, rows);
    if (added.length + removed.length === 0) return;
    this.options.logger.log('granted', {
      step: 'move',
      incarnation: this.incarnation,
      added: formatRows(added),
      removed: formatRows(removed),
      rows: rows.length,
      holdMs,
      term: this.lease.term,
    });
  }

  private noteEnded(incarnation: string, proven: boolean): void {
    if (incarnation !== this.incarnation) return;
    this.leaving = true;
    if (!proven) return;
    this.isAlive = false;
    this.grantedUntilMs = 0;
    this.granted = [];
    this.grants.noteServerEnded();
  }

  private tick(): void {
    this.scheduleTick();
    if (!this.isKeyed()) return;
    const rows = this.listOwnRows();
    this.options.onFacts({
      incarnation: this.incarnation,
      workMsPerSecond: rows.reduce((sum, row) => sum + this.loads.sum(row, this.now()), 0),
      slots: this.slots,
      accepts: this.isAlive && !this.mustLeave() && this.lease.untilMs > this.now(),
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
    this.write(createRangeTable(this.service, receivers), 0, 'keysDivided');
  }

  private mustLeave(): boolean {
    return this.leaving || this.view.evacuated.has(this.options.identity.failureDomain);
  }

  /** Starts the next due change of the table. At most one write is in progress. */
  private changeTable(): void {
    const { table } = this;
    if (table === undefined || this.writing || this.lease.untilMs <= this.now()) return;
    if (this.mustLeave()) this.releaseAll(table.table);
    if (this.grants.hasEnded) this.releases.noteGrantsEnded();
    const renewed = this.isAlive && !this.leaving ? renewOwner(table.table, this.owner) : table.table;
    if (renewed !== table.table) {
      this.write(renewed, table.revision, 'ownerRenewed');
      return;
    }
    const gatherMs = this.mustLeave() ? 0 : this.releases.gatherMs(this.options.clock.monotonicMs());
    if (gatherMs > 0) {
      this.gatherFor(gatherMs);
      return;
    }
    const free = this.releases.listFree();
    if (free.length > 0) this.transfer(table, free);
    else if (!this.isFenced(table)) this.write(fenceTable(table.table), table.revision, 'tableFenced');
  }

  /** Waits until further keys are released, so that one write of the table moves them all. */
  private gatherFor(delayMs: number): void {
    this.cancelGather();
    this.cancelGather = this.options.clock.schedule(delayMs, () => this.post({ type: 'due' }));
  }

  /** Transfers released keys to their receivers, except those that another daemon took over during the release. */
  private transfer({ table, revision }: StoredRangeTable, transfers: readonly RangeTransfer[]): void {
    const own = intersectRanges(transfers, listRowsOf(table, this.options.identity.serverId));
    this.options.logger.log('transfer', describeTransfer(transfers, own));
    this.write(transferRanges(table, own), revision, 'keysTransferred');
  }

  /**
   * Whether the table was written since this run first read it. Until then, a write that a former run of this daemon sent
   * could still be carried out and transfer keys that this run grants.
   */
  private isFenced({ revision }: StoredRangeTable): boolean {
    return revision > (this.inheritedRevision ?? revision);
  }

  private releaseAll(table: RangeTable): void {
    const unreleased = this.releases.subtractFrom(listRowsOf(table, this.options.identity.serverId));
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
    if (item !== undefined) this.adoptItem(item);
  }

  private adoptItem(item: CollectionItem): void {
    rangeTableCodec.decode(item.value).caseOf({
      Left: (message) => this.options.logger.log('tableMalformed', { step: 'store', message }),
      Right: (table) => this.adopt({ table, revision: item.revision }),
    });
  }

  private adopt(table: StoredRangeTable): void {
    if (this.table !== undefined && this.table.revision >= table.revision) return;
    this.table = table;
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
    return listRowsOf(this.table.table, this.options.identity.serverId).filter((row) =>
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
    const held = expected.filter((row) => isGranted(row, this.granted));
    this.options.onGranted({ held, untilMs: this.grantedUntilMs, expected, moving });
  }

  private now(): number {
    return this.options.elapsed.nowMs();
  }

  private scheduleTick(): void {
    this.cancelTick = this.options.clock.schedule(TICK_INTERVAL_MS, () => this.post({ type: 'tick' }));
  }
}
