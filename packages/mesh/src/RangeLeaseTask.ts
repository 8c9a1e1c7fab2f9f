import type { Either } from 'purify-ts';
import { ChartCursor } from '#chart/ChartCursor.js';
import type { Cancel } from '#core/Cancel.js';
import type { RouterError } from '#core/RouterError.js';
import { Task } from '#core/Task.js';
import type { CollectionItem } from '#store/CollectionItem.js';
import type { CollectionPutResult } from '#store/CollectionPutResult.js';
import type { EraChange } from '#store/EraChange.js';
import { StoreVersion } from '#store/StoreVersion.js';
import { collections } from '#mesh/Collections.js';
import { leaseChart } from '#mesh/LeaseChart.js';
import type { LeaseEvent } from '#mesh/LeaseEvent.js';
import type { LeaseReport } from '#mesh/LeaseReport.js';
import type { LeaseRecord } from '#mesh/LeaseRecord.js';
import { leaseRecordCodec } from '#mesh/LeaseRecordCodec.js';
import type { RangeLeaseMessage } from '#mesh/RangeLeaseMessage.js';
import type { RangeLeaseOptions } from '#mesh/RangeLeaseOptions.js';
import type { Resignation } from '#mesh/Resignation.js';

const RENEWAL_RETRY_MS = 500;

const FIRST_TERM = 1;

/**
 * Holds this daemon's lease on key ranges by renewing its record in the store. The lease runs from the time at which the
 * renewal was sent. If another daemon revoked the record, the term has ended for good, and the next renewal begins a new
 * term.
 */
export class RangeLeaseTask extends Task<RangeLeaseMessage> {
  private readonly options: RangeLeaseOptions;
  private readonly cursor = new ChartCursor<LeaseEvent>(leaseChart);
  private isWanted = false;
  private isWriting = false;
  private hasResigned = false;
  private renewal = 0;
  private revision = 0;
  /** Last known era of the store. */
  private era = 0;
  private term = FIRST_TERM;
  private untilMs = 0;
  private cancelRenew: Cancel = () => undefined;
  private facts: LeaseReport = {
    incarnation: '',
    workMsPerSecond: 0,
    slots: 1,
    accepts: false,
    mayRelease: false,
  };

  public constructor(options: RangeLeaseOptions) {
    super();
    this.options = options;
  }

  public override stop(): void {
    super.stop();
    this.cancelRenew();
  }

  protected override receive(message: RangeLeaseMessage): void {
    switch (message.type) {
      case 'hold':
        if (this.isWanted) return;
        this.isWanted = true;
        this.renew();
        return;
      case 'facts':
        this.facts = message.facts;
        return;
      case 'renew':
        this.renew();
        return;
      case 'eraChanged':
        this.noteEra(message.change);
        return;
      case 'resign':
        this.resign(message.reply);
        return;
      case 'renewed':
        this.isWriting = false;
        if (this.hasResigned) this.noteLastRenewed(message.result);
        else this.noteRenewed(message.sentMs, message.term, message.result);
    }
  }

  /**
   * Writes the record again after a restore of the store. A term that has lapsed may have been revoked after the backup, so
   * another one begins.
   */
  private noteEra({ era, isFirst }: EraChange): void {
    this.era = era;
    if (isFirst || !this.isWanted) return;
    const hasLapsed = this.cursor.state !== 'none' && this.options.elapsed.nowMs() > this.untilMs;
    if (hasLapsed) this.term += 1;
    this.options.logger.log('leaseRewritten', { step: 'lease', term: this.term, lapsed: hasLapsed });
    this.renew();
  }

  private renew(): void {
    if (this.isWriting || this.hasResigned) return;
    this.isWriting = true;
    const { identity, store, elapsed } = this.options;
    const sentMs = elapsed.nowMs();
    if (this.cursor.state === 'held' && sentMs > this.untilMs) {
      this.cursor.send({ type: 'lapsed' });
      this.options.logger.log('leaseLapsed', { step: 'lease', term: this.term });
    }
    const { term } = this;
    this.renewal += 1;
    const record = this.createRecord(this.facts, false);
    void store
      .put(collections.leases, identity.serverId, record, this.revision)
      .then((result) => this.post({ type: 'renewed', sentMs, term, result }));
  }

  private resign(reply: (resignation: Resignation) => void): void {
    const { identity, processId, logger } = this.options;
    const { term } = this;
    this.hasResigned = true;
    this.cancelRenew();
    logger.log('leaseResigned', { step: 'lease', term });
    reply({ serverId: identity.serverId, term, processId });
    if (!this.isWriting) this.writeResignation();
  }

  /** Writes the resignation after a renewal that was in progress. The renewal no longer extends the lease. */
  private noteLastRenewed(result: Either<RouterError, CollectionPutResult>): void {
    result.ifRight((put) => {
      if (put.type === 'accepted') this.revision = put.item.revision;
    });
    this.writeResignation();
  }

  private writeResignation(): void {
    const { identity, store, logger } = this.options;
    const { term } = this;
    const record = this.createRecord(this.facts, true);
    void store.put(collections.leases, identity.serverId, record, this.revision).then((result) => {
      const isWritten = result.map(({ type }) => type === 'accepted').orDefault(false);
      if (!isWritten) logger.log('resignationNotWritten', { step: 'lease', term });
    });
  }

  private createRecord(facts: LeaseReport, revoked: boolean): LeaseRecord {
    const { identity, processId } = this.options;
    return {
      serverId: identity.serverId,
      service: identity.service,
      processId,
      term: this.term,
      revoked,
      renewal: this.renewal,
      incarnation: facts.incarnation,
      workMsPerSecond: Math.round(facts.workMsPerSecond),
      slots: facts.slots,
      accepts: facts.accepts,
    };
  }

  private noteRenewed(sentMs: number, term: number, result: Either<RouterError, CollectionPutResult>): void {
    result.caseOf({
      Left: (err) => {
        this.options.logger.log('leaseNotRenewed', {
          step: 'lease',
          code: err.fields.code,
          leftMs: Math.round(this.untilMs - this.options.elapsed.nowMs()),
        });
        this.scheduleRenew(RENEWAL_RETRY_MS);
      },
      Right: (put) => {
        if (put.type === 'conflict') {
          this.adopt(put.current);
          this.renew();
          return;
        }
        this.revision = put.item.revision;
        // A renewal that was answered before the term changed says nothing about the new one.
        if (term !== this.term) {
          this.renew();
          return;
        }
        this.untilMs = sentMs + this.options.timings.leaseMs;
        if (this.cursor.state !== 'held') this.options.logger.log('leaseHeld', { step: 'lease', term });
        this.cursor.send({ type: 'acquired' });
        this.options.onLease({
          term,
          untilMs: this.untilMs,
          era: StoreVersion.eraOf(put.item.revision),
        });
        const isLost = StoreVersion.eraOf(put.item.revision) < this.era;
        this.scheduleRenew(isLost ? 0 : this.options.timings.renewEveryMs);
      },
    });
  }

  /**
   * Adopts the stored record after a write conflict. It comes from an earlier renewal whose reply was lost, from a former
   * run of this daemon, or from a revocation.
   */
  private adopt(current: CollectionItem | undefined): void {
    this.revision = current?.revision ?? 0;
    if (current === undefined) return;
    leaseRecordCodec.decode(current.value).caseOf({
      Left: (message) => this.options.logger.log('leaseMalformed', { step: 'lease', message }),
      Right: (record) => {
        // A restored record may contain the revocation of an earlier term.
        const ended = (record.revoked && record.term >= this.term) || record.term > this.term;
        this.term = Math.max(this.term, record.revoked ? record.term + 1 : record.term);
        if (!ended || this.cursor.state === 'none') return;
        this.cursor.send({ type: 'revoked' });
        this.untilMs = 0;
        this.options.logger.log('leaseRevoked', { step: 'lease', term: record.term });
        this.options.onLease({ term: this.term, untilMs: 0, era: 0 });
      },
    });
  }

  private scheduleRenew(delayMs: number): void {
    this.cancelRenew();
    this.cancelRenew = this.options.clock.schedule(delayMs, () => this.post({ type: 'renew' }));
  }
}
