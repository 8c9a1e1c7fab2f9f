import { ChartCursor } from '#chart/ChartCursor.js';
import type { Cancel } from '#core/Cancel.js';
import { Task } from '#core/Task.js';
import type { ProbedConnection } from '#store/ProbedConnection.js';
import { storeLinkChart } from '#mesh/StoreLinkChart.js';
import type { StoreLinkEvent } from '#mesh/StoreLinkEvent.js';
import type { StoreLinkMessage } from '#mesh/StoreLinkMessage.js';
import type { StoreLinkOptions } from '#mesh/StoreLinkOptions.js';

/**
 * Time from one probe to the next. With `SILENCE_TIMEOUT_MS` it bounds how long a change can go unnoticed, which has to stay well
 * below the time in which a configuration takes effect.
 */
const PROBE_INTERVAL_MS = 1_000;

/** Least pause after the response to a slow probe, in milliseconds. */
const MIN_PAUSE_MS = 500;

/** Time without a response to a probe after which it is compared with a probe of a new connection, in milliseconds. */
const SILENCE_TIMEOUT_MS = 600;

/**
 * Notices that open connections to the store no longer carry responses, and replaces them. A watch without a response looks
 * the same on such a connection as on a sound one, so a kept connection, as old as those of the watches, is probed. If a new
 * connection gets a response before the kept one, the fault lies with the connections and not with the store.
 */
export class StoreLinkTask extends Task<StoreLinkMessage> {
  private readonly options: StoreLinkOptions;
  private readonly cursor = new ChartCursor<StoreLinkEvent>(storeLinkChart);
  /** Number of the current round of probes; results of earlier rounds are ignored. */
  private round = 0;
  /** Monotonic times of the last probe of the kept connection, and of the last round, in milliseconds. */
  private probedMs = 0;
  private roundMs = 0;
  private cancelDue: Cancel = () => undefined;
  private cancelSilent: Cancel = () => undefined;

  public constructor(options: StoreLinkOptions) {
    super();
    this.options = options;
  }

  /** Makes the first probe. To be called before the store is used otherwise, so that no connection is older. */
  public start(): void {
    this.post({ type: 'due' });
  }

  public override stop(): void {
    super.stop();
    this.cancelDue();
    this.cancelSilent();
  }

  protected override receive(message: StoreLinkMessage): void {
    if ('round' in message && message.round !== this.round) return;
    switch (message.type) {
      case 'due':
        this.beginRound();
        return;
      case 'pause':
        if (!this.cursor.send({ type: 'paused' })) return;
        this.round += 1;
        this.cancelDue();
        this.cancelSilent();
        return;
      case 'resume':
        if (this.cursor.send({ type: 'resumed' })) this.beginRound();
        return;
      case 'silent':
        if (this.cursor.send({ type: 'silent' })) this.probe('new');
        return;
      case 'probed':
        if (message.connection === 'kept') this.noteKept(message.answered);
        else this.noteNew(message.answered);
    }
  }

  private beginRound(): void {
    if (!this.cursor.send({ type: 'due' })) return;
    this.round += 1;
    this.roundMs = this.options.clock.monotonicMs();
    if (this.cursor.state === 'comparing') {
      this.probe('new');
      return;
    }
    const { round } = this;
    const { clock } = this.options;
    this.probedMs = this.roundMs;
    this.cancelSilent = clock.schedule(SILENCE_TIMEOUT_MS, () => this.post({ type: 'silent', round }));
    this.probe('kept');
  }

  private noteKept(answered: boolean): void {
    if (!this.cursor.send({ type: answered ? 'answered' : 'failed' })) return;
    this.cancelSilent();
    if (answered) {
      this.options.onConfirmed(this.probedMs);
      this.scheduleRound();
    } else this.probe('new');
  }

  private noteNew(answered: boolean): void {
    if (!this.cursor.send({ type: answered ? 'newAnswered' : 'newFailed' })) return;
    this.scheduleRound();
    if (!answered) return;
    const { store, clock, logger, onReplaced } = this.options;
    const silentMs = Math.round(clock.monotonicMs() - this.probedMs);
    logger.log('storeConnectionsReplaced', { step: 'store', silentMs });
    store.replaceConnections();
    onReplaced();
  }

  private probe(connection: ProbedConnection): void {
    const { round } = this;
    void this.options.store
      .probe(connection)
      .then((result) => this.post({ type: 'probed', round, connection, answered: result.isRight() }));
  }

  private scheduleRound(): void {
    const { clock } = this.options;
    const delayMs = Math.max(MIN_PAUSE_MS, this.roundMs + PROBE_INTERVAL_MS - clock.monotonicMs());
    this.cancelDue = clock.schedule(delayMs, () => this.post({ type: 'due' }));
  }
}
