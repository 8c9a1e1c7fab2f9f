import { decideRetry } from '#balance/DecideRetry.js';
import { RetryBudget } from '#balance/RetryBudget.js';
import type { Clock } from '#core/Clock.js';
import type { RandomSource } from '#core/RandomSource.js';
import type { RouterErrorFields } from '#core/RouterErrorFields.js';
import { mayRetryFault } from '#proxy/MayRetryFault.js';
import type { OpenExchange } from '#proxy/OpenExchange.js';

/** Retries of a team and class that are allowed, as a fraction of its recent requests. */
const RETRY_FRACTION = 0.2;
/** Recent retries of a team and class that are allowed whatever the number of its requests. */
const MIN_RETRIES = 20;
/** Least duration of an attempt: a retry with less time left before the deadline is not made. */
const MIN_ATTEMPT_MS = 1;

/** Decides on the retries of an entry task, within a retry budget for each team and class. */
export class RetryPlanner {
  private readonly budget = new RetryBudget(RETRY_FRACTION, MIN_RETRIES);

  public constructor(
    private readonly clock: Clock,
    private readonly random: RandomSource,
  ) {}

  /** Counts a caller request, which adds to the retry budget of its team and class. */
  public noteRequest(team: string, requestClass: string, nowMs: number): void {
    this.budget.noteRequest(team, requestClass, nowMs);
  }

  /** Returns the delay of the next attempt in milliseconds, or undefined if the request must not be retried. */
  public plan({ exchange, snapshot, attempt }: OpenExchange, fields: RouterErrorFields): number | undefined {
    // A streamed body cannot be sent again.
    if (!Buffer.isBuffer(attempt.body) || !mayRetryFault(fields)) return undefined;
    const { entry } = exchange.checked;
    const facts = {
      team: entry.owner,
      class: entry.class,
      repeatable: entry.repeatable,
      ran: fields.ran,
      attempts: snapshot.context.attempt,
      deadlineMs: exchange.deadlineAtMs,
      expectedMs: MIN_ATTEMPT_MS,
      ...(fields.retryAfterMs === undefined ? {} : { retryAfterMs: fields.retryAfterMs }),
    };
    const decision = decideRetry(facts, this.budget, this.random, this.clock.monotonicMs());
    return decision.kind === 'retry' ? decision.delayMs : undefined;
  }
}
