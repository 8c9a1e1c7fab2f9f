import type { HistoryEvent } from '#load/HistoryEvent.js';
import { RouterError } from '#core/RouterError.js';

const DEFAULT_LIMIT = 2_000_000;

/** Collects the events of a run in memory. */
export class HistoryRecorder {
  private readonly events: HistoryEvent[] = []; // eslint-disable-line no-restricted-syntax -- private log

  public constructor(private readonly limit = DEFAULT_LIMIT) {}

  /** Adds an event. Throws a `RouterError` (`historyFull`) at the limit, since an incomplete history proves nothing. */
  public record(event: HistoryEvent): void {
    if (this.events.length >= this.limit) throw createFullError(this.limit);
    this.events.push(event);
  }

  /** Returns the events recorded so far. */
  public list(): readonly HistoryEvent[] {
    return [...this.events];
  }
}

function createFullError(limit: number): RouterError {
  return new RouterError(
    { code: 'historyFull', step: 'deliver', peer: '', ran: 'not run', status: 500 },
    `the history has more than ${limit} events`,
  );
}
