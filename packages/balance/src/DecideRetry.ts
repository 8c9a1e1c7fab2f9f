import type { RandomSource } from '#core/RandomSource.js';
import type { RetryBudget } from '#balance/RetryBudget.js';
import type { RetryDecision } from '#balance/RetryDecision.js';
import type { RetryFacts } from '#balance/RetryFacts.js';

const MAX_ATTEMPTS = 3;

/** Maximum jitter before the first retry, in milliseconds; it doubles with each attempt. */
const FIRST_DELAY_MS = 5;

/** Decides on a retry and charges it to the budget. The delay is the `retryAfterMs` of the refusal plus uniform jitter. */
export function decideRetry(
  facts: RetryFacts,
  budget: RetryBudget,
  random: RandomSource,
  nowMs: number,
): RetryDecision {
  if (!facts.repeatable && facts.ran !== 'not run') return { kind: 'giveUp', reason: 'mayHaveRun' };
  if (facts.attempts >= MAX_ATTEMPTS) return { kind: 'giveUp', reason: 'attempts' };
  const jitterMs = random.fraction() * FIRST_DELAY_MS * 2 ** (facts.attempts - 1);
  const delayMs = (facts.retryAfterMs ?? 0) + jitterMs;
  if (nowMs + delayMs + facts.expectedMs > facts.deadlineMs) return { kind: 'giveUp', reason: 'deadline' };
  if (!budget.spend(facts.team, facts.class, nowMs)) return { kind: 'giveUp', reason: 'budget' };
  return { kind: 'retry', delayMs };
}
