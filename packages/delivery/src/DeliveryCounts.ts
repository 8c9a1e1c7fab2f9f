import type { Outcome } from '#delivery/Outcome.js';

/** Counts of one team and class since the daemon started; admitted = received - refused. */
export interface DeliveryCounts {
  readonly team: string;
  readonly class: string;
  readonly received: number;
  readonly admitted: number;
  readonly inFlight: number;
  readonly outcomes: Readonly<Record<Outcome, number>>;
}
