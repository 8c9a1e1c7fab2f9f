import type { Either } from 'purify-ts';
import { ChartCursor } from '#chart/ChartCursor.js';
import type { Cancel } from '#core/Cancel.js';
import type { RouterError } from '#core/RouterError.js';
import { Task } from '#core/Task.js';
import type { CollectionItem } from '#store/CollectionItem.js';
import type { EraChange } from '#store/EraChange.js';
import type { Announcement } from '#mesh/Announcement.js';
import type { AnnouncementReply } from '#mesh/AnnouncementReply.js';
import { collections } from '#mesh/Collections.js';
import { createLeftRun } from '#mesh/CreateLeftRun.js';
import { createServerEntry } from '#mesh/CreateServerEntry.js';
import { describePresence } from '#mesh/DescribePresence.js';
import { EntryPublisher } from '#mesh/EntryPublisher.js';
import { formatIncarnation } from '#mesh/FormatIncarnation.js';
import { LeaveAcknowledgements } from '#mesh/LeaveAcknowledgements.js';
import type { Presence } from '#mesh/Presence.js';
import { presenceChart } from '#mesh/PresenceChart.js';
import type { PresenceEvent } from '#mesh/PresenceEvent.js';
import type { PresenceEvidence } from '#mesh/PresenceEvidence.js';
import type { PresenceMessage } from '#mesh/PresenceMessage.js';
import type { PresenceOptions } from '#mesh/PresenceOptions.js';
import { presenceRecordChart } from '#mesh/PresenceRecordChart.js';
import type { PresenceRecordEvent } from '#mesh/PresenceRecordEvent.js';
import { RunConfirmation } from '#mesh/RunConfirmation.js';
import type { ServerEntry } from '#mesh/ServerEntry.js';
import { serverEntryCodec } from '#mesh/ServerEntryCodec.js';
import type { ServerRun } from '#mesh/ServerRun.js';
import type { UnreachableServer } from '#mesh/UnreachableServer.js';

/** Pause between two attempts to read the entry of a former process, in milliseconds. */
const READ_RETRY_MS = 500;

/**
 * Time after which a leave that the store does not contain yet is refused, so that it is repeated. Backend servers ignore
 * replies that arrive more than a second after their call.
 */
const RECORD_TIMEOUT_MS = 850;

/** Upper limit for the calls that wait until the entry of a former process has been read. */
const MAX_WAITING_CALLS = 64;

/**
 * Silence of the known run after which one that says it started earlier may follow it. It is longer than any grant lasts and
 * than announcements are delayed.
 */
const MAX_SILENCE_MS = 12_000;

/** Missed announcements after which a silent backend server counts as absent. */
const MISSED_ANNOUNCEMENTS = 2;

/** Calls of the backend server, which wait until the entry of a former process has been read. */
type ServerCall = Extract<PresenceMessage, { readonly type: 'announced' | 'withdrawn' }>;

/**
 * Tracks the backend server beside this daemon by its announcements, and publishes its state in the store. Owns the
 * presence and the published entry. What a former process of the daemon acknowledged binds this one, so a leave is
 * acknowledged only when the store contains it, and a new process reads its entry before it uses the backend server.
 */
export class PresenceTask extends Task<PresenceMessage> {
  private readonly options: PresenceOptions;
  private readonly cursor = new ChartCursor<PresenceEvent>(presenceChart);
  private readonly recordCursor = new ChartCursor<PresenceRecordEvent>(presenceRecordChart);
  private readonly confirmation: RunConfirmation;
  private readonly successor: RunConfirmation;
  private readonly acknowledgements = new LeaveAcknowledgements();
  private waitingCalls: readonly ServerCall[] = [];
  private run: ServerRun | undefined;
  private term = 0;
  private unreachable: UnreachableServer | undefined;
  /** First era of the store that this process knew. */
  private bornEra = 0;
  /** Whether the entry of a former process may be older than the last one, as the store was restored after it was written. */
  private isEntryDoubtful = false;
  private readonly publisher: EntryPublisher;
  private cancelRead: Cancel = () => undefined;

  public constructor(options: PresenceOptions) {
    super();
    this.options = options;
    this.confirmation = new RunConfirmation(options.announceEveryMs);
    this.successor = new RunConfirmation(options.announceEveryMs);
    this.publisher = new EntryPublisher({
      ...options,
      createEntry: () =>
        createServerEntry(options, this.describe(), this.run, {
          term: this.term,
          bornEra: this.bornEra,
          keysFreeMs: this.findKeysFreeMs(),
        }),
      onDue: () => this.post({ type: 'publish' }),
      onWritten: (result) => this.post({ type: 'published', result }),
      onStored: (entry) => this.noteStored(entry),
      onConflict: (current) => this.adopt(current),
    });
  }

  /** Reads the entry that a former process of this daemon left. Until then, calls of the backend server wait. */
  public start(): void {
    this.read();
  }

  public override stop(): void {
    super.stop();
    this.publisher.stop();
    this.cancelRead();
  }

  protected override receive(message: PresenceMessage): void {
    switch (message.type) {
      case 'announced':
      case 'withdrawn':
        if (this.recordCursor.state === 'reading') this.addWaiting(message);
        else this.handleCall(message);
        return;
      case 'read':
        this.noteRead(message.result);
        return;
      case 'evidence':
        this.noteEvidence(message.evidence);
        return;
      case 'term':
        this.term = message.term;
        this.publisher.schedule();
        return;
      case 'unreachable':
        this.unreachable = message.server;
        this.publisher.schedule();
        return;
      case 'eraChanged':
        this.noteEra(message.change);
        return;
      case 'publish':
        this.publisher.publish();
        return;
      case 'published':
        this.publisher.noteWritten(message.result);
    }
  }

  /** Writes the entry again after a restore of the store, which has lost its last state or holds an earlier one. */
  private noteEra({ era, isFirst }: EraChange): void {
    if (isFirst) this.bornEra = era;
    this.publisher.noteEra(era);
  }

  private handleCall(call: ServerCall): void {
    if (call.type === 'announced') this.noteAnnouncement(call.announcement, call.reply);
    else this.noteWithdrawal(call.instanceId, call.bornMs, call.reply);
  }

  private addWaiting(call: ServerCall): void {
    if (this.waitingCalls.length < MAX_WAITING_CALLS) this.waitingCalls = [...this.waitingCalls, call];
    else if (call.type === 'announced') call.reply({ accepted: false, retry: true, grant: undefined });
    else call.reply(false);
  }

  private read(): void {
    const { store, identity } = this.options;
    void store
      .get(collections.servers, identity.serverId)
      .then((result) => this.post({ type: 'read', result }));
  }

  private noteRead(result: Either<RouterError, CollectionItem | undefined>): void {
    if (this.recordCursor.state === 'known') return;
    result.caseOf({
      Left: (err) => {
        if (this.recordCursor.send({ type: 'failed' }))
          this.options.logger.log('presenceUnreadable', { step: 'store', code: err.fields.code });
        this.cancelRead = this.options.clock.schedule(READ_RETRY_MS, () => this.read());
      },
      Right: (item) => this.adopt(item),
    });
    const calls = this.waitingCalls;
    this.waitingCalls = [];
    for (const call of calls) this.handleCall(call);
  }

  /** Adopts the stored entry of a former process. A run that has left stays so. */
  private adopt(item: CollectionItem | undefined): void {
    const entry = item === undefined ? undefined : this.decodeEntry(item);
    if (this.recordCursor.send({ type: 'read' }))
      this.isEntryDoubtful = entry !== undefined && (entry.bornEra ?? 0) < this.bornEra;
    this.publisher.noteFormer(entry, item?.revision ?? 0);
    if (entry === undefined) return;
    if (entry.processId !== this.options.processId) this.restoreLeave(entry);
    this.acknowledgements.noteStored(entry);
  }

  private decodeEntry({ value }: CollectionItem): ServerEntry | undefined {
    return serverEntryCodec
      .decode(value)
      .ifLeft((message) => this.options.logger.log('presenceMalformed', { step: 'store', message }))
      .toMaybe()
      .extract();
  }

  private restoreLeave(entry: ServerEntry): void {
    const { run } = this;
    if (entry.leave === undefined) return;
    if (run !== undefined && run.announcement.bornMs > entry.leave.bornMs) return;
    const isSameRun = run?.incarnation === entry.incarnation;
    if (isSameRun && entry.state !== 'gone' && run.announcement.sequence > entry.leave.sequence) return;
    const { clock, logger } = this.options;
    const restored = createLeftRun({ ...entry, ...entry.leave }, clock.monotonicMs());
    logger.log('leaveRestored', { incarnation: entry.incarnation, state: entry.state });
    this.run = isSameRun ? { ...run, leavingMs: -Infinity, leaveSequence: restored.leaveSequence } : restored;
    this.cursor.send({ type: entry.state === 'gone' ? 'withdrawn' : 'draining' });
    this.reportPresence(this.run);
    if (run !== undefined) this.options.onEnded(run.incarnation, 'left');
  }

  private noteAnnouncement(announcement: Announcement, reply: (reply: AnnouncementReply) => void): void {
    const incarnation = formatIncarnation(announcement.instanceId, announcement.bornMs);
    if (this.isForeign(announcement)) {
      this.options.logger.log('announcementForeign', { incarnation, service: announcement.service });
      reply({ accepted: false, grant: undefined });
      return;
    }
    const nowMs = this.options.clock.monotonicMs();
    if (this.isOutdated(announcement, incarnation, nowMs)) {
      this.options.logger.log('announcementOutdated', {
        incarnation,
        sequence: announcement.sequence,
        current: this.run?.incarnation,
      });
      if (incarnation === this.run?.incarnation) this.acceptAnnouncement(incarnation, undefined, reply);
      else reply({ accepted: false, grant: undefined });
      return;
    }
    if (!this.isConfirmed(announcement, incarnation, nowMs)) {
      reply({ accepted: true, grant: undefined });
      return;
    }
    if (this.run !== undefined && this.run.incarnation !== incarnation) this.noteReplacedRun(this.run);
    const before = this.run;
    const leaves = announcement.draining || this.cursor.state === 'gone';
    this.run = {
      announcement,
      incarnation,
      announcedMs: nowMs,
      coldUntilMs: nowMs + announcement.coldLeftMs,
      leavingMs: leaves ? (before?.leavingMs ?? nowMs) : undefined,
      leaveSequence: before?.leavingMs === undefined ? announcement.sequence : before.leaveSequence,
    };
    if (this.cursor.state !== 'gone')
      this.cursor.send({ type: announcement.draining ? 'draining' : 'ready' });
    this.reportPresence(before);
    const accept = (grant: AnnouncementReply['grant']): void =>
      this.acceptAnnouncement(incarnation, grant, reply);
    if (announcement.service !== this.options.identity.service) {
      accept(undefined);
      return;
    }
    this.options.onCheckIn({
      incarnation,
      holds: announcement.holds,
      released: announcement.released,
      leaving: leaves,
      slots: announcement.slots,
      reply: accept,
    });
  }

  private acceptAnnouncement(
    incarnation: string,
    grant: AnnouncementReply['grant'],
    reply: (reply: AnnouncementReply) => void,
  ): void {
    if (this.run?.incarnation !== incarnation || this.run.leavingMs === undefined) {
      reply({ accepted: true, grant });
      return;
    }
    this.acknowledgeLeave(this.run, (recorded) =>
      reply(recorded ? { accepted: true, grant } : { accepted: false, retry: true, grant: undefined }),
    );
  }

  /** Replies to a leaving run when the store contains its leave, or refuses it so that the call is repeated. */
  private acknowledgeLeave(run: ServerRun, reply: (recorded: boolean) => void): void {
    const { clock, logger } = this.options;
    const { incarnation, leaveSequence } = run;
    const { state } = this.describe();
    const settle = (recorded: boolean): void => {
      if (!recorded) logger.log('leaveNotRecorded', { step: 'store', incarnation });
      reply(recorded);
    };
    const refuse = this.acknowledgements.add({ incarnation, state, leaveSequence, reply: settle });
    const { storedEntry } = this.publisher;
    if (storedEntry !== undefined) this.acknowledgements.noteStored(storedEntry);
    clock.schedule(RECORD_TIMEOUT_MS, refuse);
  }

  /**
   * Whether a run may be used as far as a former process is concerned. While its entry cannot be read, or may lack a leave
   * that a restore of the store has undone, the run must show by repeated announcements that it goes on: a server that has
   * left sends none, but one may arrive late.
   */
  private isConfirmed(announcement: Announcement, incarnation: string, nowMs: number): boolean {
    const isKnown = this.recordCursor.state === 'known' && !this.isEntryDoubtful;
    if (isKnown || announcement.draining) return true;
    if (this.run?.incarnation === incarnation) return true;
    return this.confirmation.note(incarnation, announcement, nowMs);
  }

  /** Whether an announcement cannot come from the backend server beside this daemon: its service is not configured. */
  private isForeign({ service }: Announcement): boolean {
    return service !== this.options.identity.service && !this.options.isConfigured(service);
  }

  /**
   * Whether an announcement is older than what is known. The wall clock of the VM may have been set back before the next run
   * started, so a run with an earlier start time that goes on announcing itself follows one that has been silent for long.
   */
  private isOutdated(announcement: Announcement, incarnation: string, nowMs: number): boolean {
    if (this.run === undefined) return false;
    const { announcement: current, announcedMs } = this.run;
    if (incarnation === this.run.incarnation) return announcement.sequence <= current.sequence;
    if (announcement.bornMs >= current.bornMs) return false;
    return !this.successor.note(incarnation, announcement, nowMs) || nowMs - announcedMs < MAX_SILENCE_MS;
  }

  private noteReplacedRun(run: ServerRun): void {
    this.options.logger.log('serverReplaced', { incarnation: run.incarnation });
    this.cursor.send({ type: 'replaced' });
    this.run = undefined;
    this.options.onEnded(run.incarnation, 'replaced');
  }

  private noteWithdrawal(
    instanceId: string,
    bornMs: number | undefined,
    reply: (recorded: boolean) => void,
  ): void {
    const { identity, clock } = this.options;
    // An announcement may still arrive after the withdrawal of its run. Without a start time, the run began before now.
    const unknown = {
      instanceId,
      bornMs: bornMs ?? clock.wallMs(),
      sequence: 0,
      service: identity.service,
      slots: 1,
    };
    const run = this.run ?? createLeftRun(unknown, clock.monotonicMs());
    if (
      run.announcement.instanceId !== instanceId ||
      (bornMs ?? run.announcement.bornMs) !== run.announcement.bornMs
    ) {
      this.options.logger.log('withdrawalOutdated', { instanceId, bornMs, current: run.incarnation });
      // A former run is in use no longer; a later one that has not announced itself yet repeats its withdrawal.
      reply(bornMs === undefined || bornMs <= run.announcement.bornMs);
      return;
    }
    if (this.cursor.send({ type: 'withdrawn' })) {
      const { leavingMs } = run;
      const leaveSequence = leavingMs === undefined ? run.announcement.sequence : run.leaveSequence;
      this.run = { ...run, leavingMs: leavingMs ?? this.options.clock.monotonicMs(), leaveSequence };
      this.reportPresence(run);
      this.options.onEnded(run.incarnation, 'left');
    }
    this.acknowledgeLeave(this.run ?? run, reply);
  }

  /**
   * Stops the use of a run to which connections fail. That is no proof of its end, as a cut has the same effect on a live run:
   * its keys stay with it until its grants have run out.
   */
  private noteEvidence({ kind, incarnation }: PresenceEvidence): void {
    const { run } = this;
    if (run?.incarnation !== incarnation) return;
    const silentMs = this.options.clock.monotonicMs() - run.announcedMs;
    const missed = silentMs > MISSED_ANNOUNCEMENTS * this.options.announceEveryMs;
    if (kind === 'silent' && !missed) return;
    this.options.onEnded(incarnation, 'unreachable');
    if (!this.cursor.send({ type: 'died' })) return;
    this.options.logger.log('serverDied', { incarnation, evidence: kind, silentMs: Math.round(silentMs) });
    this.reportPresence(run);
  }

  private reportPresence(before: ServerRun | undefined): void {
    const presence = this.describe();
    this.options.onPresence(presence);
    if (before?.leavingMs === undefined && presence.leavingMs !== undefined)
      this.options.logger.log('serverLeaves', { incarnation: presence.incarnation, state: presence.state });
    this.publisher.schedule();
  }

  private describe(): Presence {
    return describePresence(this.cursor.state as Presence['state'], this.run, this.options.identity.service);
  }

  private findKeysFreeMs(): number | undefined {
    const { run, unreachable } = this;
    return run !== undefined && run.incarnation === unreachable?.incarnation
      ? unreachable.keysFreeMs
      : undefined;
  }

  private noteStored(entry: ServerEntry): void {
    this.recordCursor.send({ type: 'read' });
    this.acknowledgements.noteStored(entry);
  }
}
