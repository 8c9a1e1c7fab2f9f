import type { Cancel } from '#core/Cancel.js';
import type { Clock } from '#core/Clock.js';
import { Task } from '#core/Task.js';
import type { MetricsRecorder } from '#metrics/MetricsRecorder.js';
import { ChangeHistory } from '#fanout/ChangeHistory.js';
import type { ChangesReply } from '#fanout/ChangesReply.js';
import type { ChangesRequest } from '#fanout/ChangesRequest.js';
import type { CollectionUpdate } from '#fanout/CollectionUpdate.js';
import { maxReadAgeMs } from '#fanout/MaxReadAgeMs.js';
import { ReadConfirmations } from '#fanout/ReadConfirmations.js';
import type { ChangeFeedMessage } from '#mesh/ChangeFeedMessage.js';
import { watchedCollections } from '#mesh/WatchedCollections.js';

/** Longest wait of a call, whatever the follower asks for, in milliseconds. */
const MAX_WAIT_MS = 2_000;

/** Calls that wait at once. A failure domain of the target size has fewer followers. */
const MAX_WAITERS = 1_000;

/** Age that is reported if the store never confirmed anything, and by a daemon that stops, in milliseconds. */
const UNKNOWN_AGE_MS = 1_000_000_000;

interface Waiter {
  readonly request: ChangesRequest;
  readonly reply: (reply: ChangesReply) => void;
  readonly untilMs: number;
  readonly cancel: Cancel;
}

/**
 * Passes on what this daemon has read from the store to the daemons that read from it. Each call waits for itself, so that a
 * slow follower delays no other. Every daemon keeps the history; the age of its confirmation tells whether it is a reader.
 */
export class ChangeFeedTask extends Task<ChangeFeedMessage> {
  private readonly clock: Clock;
  private readonly metrics: MetricsRecorder;
  private readonly histories = new Map(
    watchedCollections.map((collection): [string, ChangeHistory] => [
      collection,
      new ChangeHistory(collection),
    ]),
  );
  private readonly confirmations = new ReadConfirmations(watchedCollections);
  private readonly waiters = new Map<number, Waiter>();
  private nextWaiter = 1;
  private ending = false;

  public constructor(clock: Clock, metrics: MetricsRecorder) {
    super();
    this.metrics = metrics;
    this.clock = clock;
  }

  public override stop(): void {
    super.stop();
    for (const { cancel } of this.waiters.values()) cancel();
  }

  protected override receive(message: ChangeFeedMessage): void {
    switch (message.type) {
      case 'read':
        this.noteRead(message.update, message.sentMs);
        return;
      case 'confirmed':
        this.noteConfirmed(message.collection, message.sentMs);
        return;
      case 'asked':
        this.noteAsked(message.request, message.reply);
        return;
      case 'due':
        this.noteDue(message.waiter);
        return;
      case 'ending':
        this.ending = true;
        for (const waiter of [...this.waiters.keys()]) this.answer(waiter);
    }
  }

  private get ageMs(): number {
    return this.ending
      ? UNKNOWN_AGE_MS
      : Math.min(UNKNOWN_AGE_MS, this.confirmations.ageMs(this.clock.monotonicMs()));
  }

  private noteRead(update: CollectionUpdate, sentMs: number | undefined): void {
    const history = this.histories.get(update.collection);
    if (update.type === 'listed') history?.noteListing(update.listing);
    else history?.noteChanges(update.changes);
    if (sentMs !== undefined) this.noteConfirmed(update.collection, sentMs);
    for (const [waiter, { request }] of this.waiters) if (this.hasChanges(request)) this.answer(waiter);
  }

  private noteConfirmed(collection: string, sentMs: number): void {
    this.confirmations.note(collection, sentMs);
    this.metrics.setGauge('readAgeMs', Math.round(this.ageMs));
  }

  private noteAsked(request: ChangesRequest, reply: (reply: ChangesReply) => void): void {
    const waitMs = Math.min(request.waitMs, MAX_WAIT_MS);
    const mayWait = waitMs > 0 && this.ageMs < maxReadAgeMs && this.waiters.size < MAX_WAITERS;
    if (!mayWait || this.hasChanges(request)) {
      reply(this.createReply(request));
      return;
    }
    const waiter = this.nextWaiter;
    this.nextWaiter += 1;
    this.await(waiter, request, reply, this.clock.monotonicMs() + waitMs);
  }

  /** Waits until `untilMs`, or until the age of the confirmation may have reached its limit. */
  private await(
    waiter: number,
    request: ChangesRequest,
    reply: (reply: ChangesReply) => void,
    untilMs: number,
  ): void {
    const delayMs = Math.min(untilMs - this.clock.monotonicMs(), Math.max(0, maxReadAgeMs - this.ageMs));
    const cancel = this.clock.schedule(delayMs, () => this.post({ type: 'due', waiter }));
    this.waiters.set(waiter, { request, reply, untilMs, cancel });
    this.metrics.setGauge('followersWaiting', this.waiters.size);
  }

  private noteDue(waiter: number): void {
    const waiting = this.waiters.get(waiter);
    if (waiting === undefined) return;
    const { request, reply, untilMs } = waiting;
    if (this.clock.monotonicMs() >= untilMs || this.ageMs >= maxReadAgeMs) this.answer(waiter);
    else this.await(waiter, request, reply, untilMs);
  }

  private answer(waiter: number): void {
    const waiting = this.waiters.get(waiter);
    if (waiting === undefined) return;
    this.waiters.delete(waiter);
    this.metrics.setGauge('followersWaiting', this.waiters.size);
    waiting.cancel();
    waiting.reply(this.createReply(waiting.request));
  }

  private hasChanges({ positions }: ChangesRequest): boolean {
    return positions.some(
      ({ collection, revision }) => this.histories.get(collection)?.hasChangesAfter(revision) === true,
    );
  }

  private createReply({ positions }: ChangesRequest): ChangesReply {
    const { ageMs } = this;
    // A daemon that is not in contact with the store has nothing that its follower does not get elsewhere.
    if (ageMs >= maxReadAgeMs) return { ageMs, updates: [] };
    const updates = positions.flatMap(({ collection, revision }) => {
      const update = this.histories.get(collection)?.readAfter(revision);
      return update === undefined ? [] : [update];
    });
    return { ageMs, updates };
  }
}
