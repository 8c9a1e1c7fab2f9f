import type { Outcome } from '#delivery/Outcome.js';
import type { Phase } from '#metrics/Phase.js';
import type { PhaseSummary } from '#metrics/PhaseSummary.js';

/** Outcomes and percentiles of one team and class, as the administration API shows them. */
export interface SeriesSummary {
  readonly team: string;
  readonly class: string;
  readonly outcomes: Readonly<Partial<Record<Outcome, number>>>;
  readonly phases: Readonly<Partial<Record<Phase, PhaseSummary>>>;
}
