import type { Outcome } from '#delivery/Outcome.js';

/** Counts of one tenant and class since the daemon started; admitted = received - refused. */
export interface DeliveryCounts {
  readonly tenant: string;
  readonly class: string;
  readonly received: number;
  readonly admitted: number;
  readonly inFlight: number;
  readonly outcomes: Readonly<Record<Outcome, number>>;
}
