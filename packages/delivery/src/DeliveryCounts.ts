import type { Outcome } from '#delivery/Outcome.js';

/** Request counts of one team and class since the start of the daemon; `admitted` is `received` minus refused. */
export interface DeliveryCounts {
  readonly team: string;
  readonly class: string;
  readonly received: number;
  readonly admitted: number;
  readonly inFlight: number;
  readonly outcomes: Readonly<Record<Outcome, number>>;
}
