import { ChartCursor } from '#chart/ChartCursor.js';
import type { Cancel } from '#core/Cancel.js';
import { scheduleAfterReads } from '#core/ScheduleAfterReads.js';
import { Task } from '#core/Task.js';
import type { ChangesReply } from '#fanout/ChangesReply.js';
import { changesReplyCodec } from '#fanout/ChangesReplyCodec.js';
import { chooseSources } from '#fanout/ChooseSources.js';
import type { CollectionPosition } from '#fanout/CollectionPosition.js';
import { maxReadAgeMs } from '#fanout/MaxReadAgeMs.js';
import type { ReaderCandidate } from '#fanout/ReaderCandidate.js';
import { emptyMeshView } from '#mesh/EmptyMeshView.js';
import { followChart } from '#mesh/FollowChart.js';
import type { FollowEvent } from '#mesh/FollowEvent.js';
import type { FollowMessage } from '#mesh/FollowMessage.js';
import type { FollowOptions } from '#mesh/FollowOptions.js';
import type { MeshView } from '#mesh/MeshView.js';
import { rpcMethods } from '#mesh/RpcMethods.js';

/** Time that a reader waits for a change before it replies. A frozen reader is noticed after it and the margin. */
const POLL_WAIT_MS = 1_000;

/** Time for a reply beyond the wait, which is also the time for the first reply of a source, in milliseconds. */
const REPLY_MARGIN_MS = 300;

/** Pause after a reply with changes, so that changes in quick succession arrive in one reply, in milliseconds. */
const POLL_PAUSE_MS = 20;

/** Pause after a reply without changes that came before its wait was over, in milliseconds. The reader has too many calls. */
const EARLY_REPLY_PAUSE_MS = 200;

/** Age of the last confirmed state from which no further source is tried before the store, in milliseconds. */
const MAX_DOUBT_MS = 1_900;

/** Longest delay before a follower without a source turns to the store, so that those of a domain do not all begin at once. */
const MAX_DIRECT_DELAY_MS = 300;

/** Pause before a daemon that is not a reader tries the readers again: at least this, and up to as much again. */
const RETRY_MS = 700;

/**
 * Time in which a reader has to send a change that another daemon knows already, in milliseconds. It covers the pause of the
 * reader between two watches.
 */
const HINT_PATIENCE_MS = 600;

/**
 * Gets the changes of the store from the readers of this failure domain by long polls, one for all collections. A source that
 * does not reply, or whose last confirmation from the store is too old, is replaced by the next one, and the last one by the
 * store itself. Readers, and daemons without a view, read the store.
 */
export class FollowTask extends Task<FollowMessage> {
  private readonly options: FollowOptions;
  private readonly cursor = new ChartCursor<FollowEvent>(followChart);
  private view: MeshView = emptyMeshView;
  /** Servers of the view from which `sources` were chosen. */
  private rankedServers: MeshView['servers'] | undefined;
  private sources: readonly ReaderCandidate[] = [];
  /** Position in `sources` of the daemon that is called. */
  private index = 0;
  /** Number of the current call; replies to earlier ones are ignored. */
  private call = 0;
  private sentMs = 0;
  /** Monotonic time as of which the state was confirmed last, in milliseconds. */
  private confirmedMs = -Infinity;
  /** Whether this daemon watches the store itself. */
  private isDirect = true;
  /** Whether a source has replied and the store has not been turned to since. */
  private isFollowing = false;
  /** Whether a probe of the store is in progress. */
  private isProbing = false;
  /** Why the last source was left. */
  private reason = '';
  /** Highest hinted revisions, and those for which the reader gets time now. */
  private hinted: readonly number[] = [];
  private awaited: readonly number[] = [];
  /** Hinted revisions that two sources did not know. A deletion that a listing revealed has no revision of its own. */
  private doubted: readonly number[] = [];
  private cancelContact: Cancel | undefined;
  private cancelTimeout: Cancel = () => undefined;
  private cancelPause: Cancel = () => undefined;
  private cancelHint: Cancel | undefined;

  public constructor(options: FollowOptions) {
    super();
    this.options = options;
    options.metrics.setGauge('readsStore', 1);
  }

  public override stop(): void {
    super.stop();
    this.cancelContact?.();
    this.cancelTimeout();
    this.cancelPause();
    this.cancelHint?.();
  }

  protected override receive(message: FollowMessage): void {
    if ('call' in message && message.call !== this.call) return;
    switch (message.type) {
      case 'view':
        this.noteView(message.view);
        return;
      case 'hint':
        this.noteHint(message.revisions);
        return;
      case 'hintDue':
        this.cancelHint = undefined;
        this.checkHint();
        return;
      case 'contact':
        this.cancelContact = undefined;
        this.index = 0;
        if (this.sources.length === 0) this.probeStore();
        else if (this.cursor.send({ type: 'contact' })) this.callSource();
        return;
      case 'proceed':
        if (this.cursor.send({ type: 'proceed' })) this.callSource();
        return;
      case 'probe':
        this.probeStore();
        return;
      case 'probed':
        this.isProbing = false;
        if (message.answered) this.beginDirect();
        return;
      case 'positions':
        this.sendCall(message.positions);
        return;
      case 'replied':
        this.noteReply(message.result);
        return;
      case 'timedOut':
        this.refuse('silent');
    }
  }

  private get nowMs(): number {
    return this.options.clock.monotonicMs();
  }

  private get source(): ReaderCandidate | undefined {
    return this.sources[this.index];
  }

  private noteView(view: MeshView): void {
    this.view = view;
    if (!view.complete || this.rankedServers === view.servers) return;
    this.rankedServers = view.servers;
    const { serverId, failureDomain } = this.options.identity;
    const current = this.source;
    this.sources = chooseSources(view.servers.values(), { serverId, failureDomain, address: '' });
    if (this.sources.length === 0) {
      this.leave('isReader', 0);
      return;
    }
    if (this.cursor.state === 'direct') {
      this.scheduleContact(this.options.random.integer(MAX_DIRECT_DELAY_MS));
      return;
    }
    const index = this.sources.findIndex(({ serverId: id }) => id === current?.serverId);
    if (index >= 0 && this.sources[index]?.address === current?.address) this.index = index;
    else this.restart();
  }

  /** Calls the first source in place of one that is no longer a candidate. */
  private restart(): void {
    this.cancelTimeout();
    this.cancelPause();
    this.index = 0;
    if (this.cursor.send({ type: 'refused' })) this.callSource();
  }

  private callSource(): void {
    this.call += 1;
    const { call } = this;
    this.options.readPositions((positions) => this.post({ type: 'positions', call, positions }));
  }

  private sendCall(positions: readonly CollectionPosition[]): void {
    const { call, source } = this;
    if (source === undefined) {
      this.refuse('unknown');
      return;
    }
    // The first call of a source does not wait, so that a frozen one is noticed at once.
    this.sentMs = this.nowMs;
    const waitMs = this.cursor.state === 'polling' ? POLL_WAIT_MS : 0;
    this.cancelTimeout = scheduleAfterReads(this.options.clock, waitMs + REPLY_MARGIN_MS, () =>
      this.post({ type: 'timedOut', call }),
    );
    this.options.call(source.address, rpcMethods.changes, { positions, waitMs }, waitMs > 0, (result) =>
      this.post({ type: 'replied', call, result }),
    );
  }

  private noteReply(result: unknown): void {
    changesReplyCodec.decode(result).caseOf({
      Left: () => this.refuse('failed'),
      Right: (reply) => {
        this.options.metrics.setGauge('readAgeMs', Math.round(reply.ageMs));
        if (reply.ageMs < maxReadAgeMs) this.noteFresh(reply);
        else this.refuse('stale', reply.ageMs);
      },
    });
  }

  private noteFresh({ ageMs, updates }: ChangesReply): void {
    const { logger, metrics, clock, onFollowed } = this.options;
    this.cancelTimeout();
    const isFirst = this.cursor.state === 'contacting';
    this.cursor.send({ type: 'fresh' });
    this.confirmedMs = this.nowMs - ageMs;
    metrics.count('followReplies');
    if (isFirst) {
      this.isDirect = false;
      this.isFollowing = true;
      metrics.setGauge('readsStore', 0);
      logger.log('follows', { step: 'spread', peer: this.source?.serverId ?? '', ageMs: Math.round(ageMs) });
    }
    onFollowed(updates);
    const isEarly = !isFirst && this.nowMs - this.sentMs < POLL_WAIT_MS / 2;
    const emptyPauseMs = isEarly ? EARLY_REPLY_PAUSE_MS : 0;
    this.cancelPause = clock.schedule(updates.length > 0 ? POLL_PAUSE_MS : emptyPauseMs, () =>
      this.post({ type: 'proceed' }),
    );
  }

  /** Turns from a source that failed to the next one, or to the store. */
  private refuse(reason: string, ageMs?: number): void {
    const { logger, metrics } = this.options;
    this.cancelTimeout();
    this.cancelPause();
    this.call += 1;
    if (this.cursor.state === 'direct') return;
    if (this.isFollowing) {
      metrics.count('followFailures');
      logger.log('readerLost', {
        step: 'spread',
        peer: this.source?.serverId ?? '',
        reason,
        ...(ageMs === undefined ? {} : { ageMs: Math.round(ageMs) }),
      });
    }
    this.index += 1;
    const isUrgent = this.isFollowing && this.nowMs - this.confirmedMs > MAX_DOUBT_MS;
    if (this.index >= this.sources.length || isUrgent) {
      this.leave(reason, this.options.random.integer(MAX_DIRECT_DELAY_MS));
      return;
    }
    this.cursor.send({ type: 'refused' });
    this.callSource();
  }

  /** Turns to the store after a delay, unless this daemon reads it already. */
  private leave(reason: string, delayMs: number): void {
    this.cancelTimeout();
    this.cancelPause();
    this.call += 1;
    this.reason = reason;
    this.isFollowing = false;
    this.cursor.send({ type: 'exhausted' });
    if (this.sources.length > 0 || !this.isDirect)
      this.scheduleContact(RETRY_MS + this.options.random.integer(RETRY_MS));
    if (!this.isDirect)
      this.cancelPause = this.options.clock.schedule(delayMs, () => this.post({ type: 'probe' }));
  }

  /** Finds out whether the store can be reached, so that an outage does not make every follower watch it. */
  private probeStore(): void {
    if (this.isDirect || this.isProbing || this.cursor.state !== 'direct') return;
    this.isProbing = true;
    this.options.probeStore((answered) => this.post({ type: 'probed', answered }));
  }

  private beginDirect(): void {
    if (this.isDirect || this.cursor.state !== 'direct') return;
    const { logger, metrics, onDirect } = this.options;
    const ageMs = Math.round(this.nowMs - this.confirmedMs);
    this.isDirect = true;
    metrics.setGauge('readsStore', 1);
    logger.log('readsStore', { step: 'spread', reason: this.reason, ageMs });
    onDirect();
  }

  private scheduleContact(delayMs: number): void {
    this.cancelContact ??= this.options.clock.schedule(delayMs, () => this.post({ type: 'contact' }));
  }

  /** Gives the reader some time to send what a hint tells of; usually its reply is under way. */
  private noteHint(revisions: readonly number[]): void {
    if (this.isDirect) return;
    this.hinted = revisions.map((revision, index) => Math.max(revision, this.hinted[index] ?? 0));
    if (this.cancelHint !== undefined || !this.isBehind(this.hinted)) return;
    this.awaited = this.hinted;
    this.cancelHint = this.options.clock.schedule(HINT_PATIENCE_MS, () => this.post({ type: 'hintDue' }));
  }

  /** Turns to the next source if the present one did not send what a hint told of. */
  private checkHint(): void {
    if (!this.isBehind(this.awaited) || this.cursor.state !== 'polling') return;
    this.doubted = this.awaited;
    this.refuse('behind');
  }

  private isBehind(revisions: readonly number[]): boolean {
    return revisions.some(
      (revision, index) => revision > Math.max(this.view.revisions[index] ?? 0, this.doubted[index] ?? 0),
    );
  }
}
