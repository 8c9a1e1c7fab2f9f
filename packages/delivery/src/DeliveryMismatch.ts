/** A team and class whose counts do not match the requests in flight. */
export interface DeliveryMismatch {
  readonly team: string;
  readonly class: string;
  /** Requests in flight according to the counts: arrivals without an outcome. */
  readonly counted: number;
  /** Requests in flight as passed to `reconcile`; without them, the nearest possible number, 0. */
  readonly actual: number;
}
