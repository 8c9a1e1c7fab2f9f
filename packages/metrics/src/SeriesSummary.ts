import type { Outcome } from '#delivery/Outcome.js';
import type { Phase } from '#metrics/Phase.js';
import type { PhaseSummary } from '#metrics/PhaseSummary.js';

/** Readable figures of one team and class. */
export interface SeriesSummary {
  readonly team: string;
  readonly class: string;
  readonly outcomes: Readonly<Partial<Record<Outcome, number>>>;
  readonly phases: Readonly<Partial<Record<Phase, PhaseSummary>>>;
}
