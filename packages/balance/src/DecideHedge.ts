import type { HedgeDecision } from '#balance/HedgeDecision.js';
import type { HedgeFacts } from '#balance/HedgeFacts.js';
import type { RetryBudget } from '#balance/RetryBudget.js';

/** Decides on one hedging request after the 95th latency percentile of the class, and charges it to the budget if sent. */
export function decideHedge(facts: HedgeFacts, budget: RetryBudget, nowMs: number): HedgeDecision {
  if (!facts.repeatable || facts.hedges > 0 || facts.p95Ms === undefined) return { kind: 'none' };
  const dueMs = facts.sentMs + facts.p95Ms;
  if (dueMs >= facts.deadlineMs || nowMs >= facts.deadlineMs) return { kind: 'none' };
  if (nowMs < dueMs) return { kind: 'wait', delayMs: dueMs - nowMs };
  return { kind: budget.spend(facts.team, facts.class, nowMs) ? 'hedge' : 'none' };
}
