import type { Either } from 'purify-ts';
import { ChartCursor } from '#chart/ChartCursor.js';
import type { Cancel } from '#core/Cancel.js';
import type { RouterError } from '#core/RouterError.js';
import { Task } from '#core/Task.js';
import type { CollectionPutResult } from '#store/CollectionPutResult.js';
import type { Announcement } from '#mesh/Announcement.js';
import type { AnnouncementReply } from '#mesh/AnnouncementReply.js';
import { collections } from '#mesh/Collections.js';
import type { Presence } from '#mesh/Presence.js';
import { presenceChart } from '#mesh/PresenceChart.js';
import type { PresenceEvent } from '#mesh/PresenceEvent.js';
import type { PresenceEvidence } from '#mesh/PresenceEvidence.js';
import type { PresenceMessage } from '#mesh/PresenceMessage.js';
import type { PresenceOptions } from '#mesh/PresenceOptions.js';
import type { RefusedConnection } from '#mesh/RefusedConnection.js';
import type { ServerEntry } from '#mesh/ServerEntry.js';

/** Delay before a change is published, so that changes in quick succession are written once, in milliseconds. */
const PUBLISH_DELAY_MS = 60;

const PUBLISH_RETRY_MS = 400;

/** Missed announcements after which a silent backend server counts as absent. */
const MISSED_ANNOUNCEMENTS = 2;

interface Run {
  readonly announcement: Announcement;
  readonly incarnation: string;
  readonly announcedMs: number;
  readonly coldUntilMs: number;
  readonly leavingMs: number | undefined;
}

/**
 * Tracks the backend server beside this daemon by its announcements, and publishes its state in the store. Owns the
 * presence and the published entry.
 */
export class PresenceTask extends Task<PresenceMessage> {
  private readonly options: PresenceOptions;
  private readonly cursor = new ChartCursor<PresenceEvent>(presenceChart);
  private run: Run | undefined;
  private term = 0;
  private published: ServerEntry | undefined;
  private pending: ServerEntry | undefined;
  private revision = 0;
  private refusedConnection: RefusedConnection | undefined;
  private cancelPublish: Cancel | undefined;

  public constructor(options: PresenceOptions) {
    super();
    this.options = options;
  }

  public override stop(): void {
    super.stop();
    this.cancelPublish?.();
  }

  protected override receive(message: PresenceMessage): void {
    switch (message.type) {
      case 'announced':
        this.noteAnnouncement(message.announcement, message.reply);
        return;
      case 'withdrawn':
        this.noteWithdrawal(message.instanceId, message.bornMs);
        message.reply();
        return;
      case 'evidence':
        this.noteEvidence(message.evidence);
        return;
      case 'confirm':
        this.confirm(message.refusal);
        return;
      case 'term':
        this.term = message.term;
        this.schedulePublish(PUBLISH_DELAY_MS);
        return;
      case 'publish':
        this.cancelPublish = undefined;
        this.publish();
        return;
      case 'published':
        this.notePublished(message.result);
    }
  }

  private noteAnnouncement(announcement: Announcement, reply: (reply: AnnouncementReply) => void): void {
    const incarnation = `${announcement.instanceId}/${announcement.bornMs}`;
    if (this.isForeign(announcement)) {
      this.options.logger.log('announcementForeign', { incarnation, service: announcement.service });
      reply({ accepted: false, grant: undefined });
      return;
    }
    if (this.isOutdated(announcement, incarnation)) {
      this.options.logger.log('announcementOutdated', {
        incarnation,
        sequence: announcement.sequence,
        current: this.run?.incarnation,
      });
      reply({ accepted: incarnation === this.run?.incarnation, grant: undefined });
      return;
    }
    if (incarnation === this.refusedConnection?.incarnation)
      this.options.logger.log('refusalRefuted', { incarnation, sequence: announcement.sequence });
    this.refusedConnection = undefined;
    if (this.run !== undefined && this.run.incarnation !== incarnation) this.noteReplacedRun(this.run);
    const before = this.run;
    const nowMs = this.options.clock.monotonicMs();
    const leaves = announcement.draining || this.cursor.state === 'gone';
    this.run = {
      announcement,
      incarnation,
      announcedMs: nowMs,
      coldUntilMs: nowMs + announcement.coldLeftMs,
      leavingMs: leaves ? (before?.leavingMs ?? nowMs) : undefined,
    };
    if (this.cursor.state !== 'gone')
      this.cursor.send({ type: announcement.draining ? 'draining' : 'ready' });
    this.reportPresence(before);
    if (announcement.service !== this.options.identity.service) {
      reply({ accepted: true, grant: undefined });
      return;
    }
    this.options.onCheckIn({
      incarnation,
      holds: announcement.holds,
      released: announcement.released,
      leaving: leaves,
      slots: announcement.slots,
      reply: (grant) => reply({ accepted: true, grant }),
    });
  }

  /** Whether an announcement cannot come from the backend server beside this daemon: its service is not configured. */
  private isForeign({ service }: Announcement): boolean {
    return service !== this.options.identity.service && !this.options.isConfigured(service);
  }

  private isOutdated(announcement: Announcement, incarnation: string): boolean {
    if (this.run === undefined) return false;
    const current = this.run.announcement;
    if (incarnation === this.run.incarnation) return announcement.sequence <= current.sequence;
    return announcement.bornMs < current.bornMs;
  }

  private noteReplacedRun(run: Run): void {
    this.options.logger.log('serverReplaced', { incarnation: run.incarnation });
    this.cursor.send({ type: 'died' });
    this.run = undefined;
    this.options.onEnded(run.incarnation, true);
  }

  private noteWithdrawal(instanceId: string, bornMs: number | undefined): void {
    const { run } = this;
    if (run?.announcement.instanceId !== instanceId) return;
    if (bornMs !== undefined && bornMs !== run.announcement.bornMs) {
      this.options.logger.log('withdrawalOutdated', { instanceId, bornMs, current: run.incarnation });
      return;
    }
    if (!this.cursor.send({ type: 'withdrawn' })) return;
    const before = run;
    this.run = { ...run, leavingMs: run.leavingMs ?? this.options.clock.monotonicMs() };
    this.reportPresence(before);
    this.options.onEnded(run.incarnation, false);
  }

  private noteEvidence({ kind, incarnation }: PresenceEvidence): void {
    const { run } = this;
    if (run?.incarnation !== incarnation) return;
    const silentMs = this.options.clock.monotonicMs() - run.announcedMs;
    const missed = silentMs > MISSED_ANNOUNCEMENTS * this.options.announceEveryMs;
    if (kind === 'silent' && !missed) return;
    const proven = kind === 'refused' && this.provesEnd(run);
    this.options.onEnded(incarnation, proven);
    if (!this.cursor.send({ type: 'died' })) return;
    this.options.logger.log('serverDied', { incarnation, evidence: kind, silentMs: Math.round(silentMs) });
    this.reportPresence(run);
  }

  /**
   * Whether a refused connection proves that a run has ended. The first refusal proves nothing, since a live server can be
   * without a listener for a moment; a second one does, if the run has not announced itself in between. A leaving server
   * may close its port while it works on its last requests.
   */
  private provesEnd({ incarnation, announcedMs, leavingMs }: Run): boolean {
    if (leavingMs !== undefined) return false;
    if (this.refusedConnection !== undefined) return this.refusedConnection.isSilent;
    const { announceEveryMs, clock } = this.options;
    const silentMs = clock.monotonicMs() - announcedMs;
    const waitMs = Math.max(MISSED_ANNOUNCEMENTS * announceEveryMs - silentMs, announceEveryMs);
    const refusal: RefusedConnection = { incarnation, isSilent: false };
    this.refusedConnection = refusal;
    clock.schedule(waitMs, () => this.post({ type: 'confirm', refusal }));
    return false;
  }

  private confirm(refusal: RefusedConnection): void {
    if (refusal !== this.refusedConnection) return;
    this.refusedConnection = { ...refusal, isSilent: true };
    this.options.onProbeNeeded();
  }

  private reportPresence(before: Run | undefined): void {
    const presence = this.describe();
    this.options.onPresence(presence);
    if (before?.leavingMs === undefined && presence.leavingMs !== undefined)
      this.options.logger.log('serverLeaves', { incarnation: presence.incarnation, state: presence.state });
    this.schedulePublish(PUBLISH_DELAY_MS);
  }

  private describe(): Presence {
    const { run } = this;
    return {
      state: this.cursor.state as Presence['state'],
      service: run?.announcement.service ?? this.options.identity.service,
      address: run?.announcement.address ?? '',
      instanceId: run?.announcement.instanceId ?? '',
      incarnation: run?.incarnation ?? '',
      slots: run?.announcement.slots ?? 1,
      coldUntilMs: run?.coldUntilMs ?? 0,
      announcedMs: run?.announcedMs ?? 0,
      leavingMs: run?.leavingMs,
    };
  }

  private schedulePublish(delayMs: number): void {
    if (this.cancelPublish !== undefined || this.pending !== undefined) return;
    if (isSameEntry(this.published, this.createEntry())) return;
    this.cancelPublish = this.options.clock.schedule(delayMs, () => this.post({ type: 'publish' }));
  }

  private publish(): void {
    const entry = this.createEntry();
    if (this.pending !== undefined || isSameEntry(this.published, entry)) return;
    this.pending = entry;
    const { store, identity } = this.options;
    void store
      .put(collections.servers, identity.serverId, entry, this.revision)
      .then((result) => this.post({ type: 'published', result }));
  }

  private notePublished(result: Either<RouterError, CollectionPutResult>): void {
    const entry = this.pending;
    this.pending = undefined;
    result.caseOf({
      Left: (err) => {
        this.options.logger.log('publishFailed', { step: 'store', code: err.fields.code });
        this.schedulePublish(PUBLISH_RETRY_MS);
      },
      Right: (put) => {
        if (put.type === 'accepted') {
          this.published = entry;
          this.revision = put.item.revision;
          this.schedulePublish(PUBLISH_DELAY_MS);
          return;
        }
        this.revision = put.current?.revision ?? 0;
        this.schedulePublish(0);
      },
    });
  }

  private createEntry(): ServerEntry {
    const { identity, address, processId } = this.options;
    const presence = this.describe();
    return {
      serverId: identity.serverId,
      address,
      failureDomain: identity.failureDomain,
      region: identity.region,
      service: presence.service,
      instanceId: presence.instanceId,
      incarnation: presence.incarnation,
      state: presence.state,
      slots: presence.slots,
      term: this.term,
      processId,
    };
  }
}

function isSameEntry(left: ServerEntry | undefined, right: ServerEntry): boolean {
  return left !== undefined && JSON.stringify(left) === JSON.stringify(right);
}
