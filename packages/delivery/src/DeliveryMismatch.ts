/** A team and class whose counts do not add up. */
export interface DeliveryMismatch {
  readonly team: string;
  readonly class: string;
  /** In flight by the counts: admitted requests without an outcome. */
  readonly counted: number;
  /** In flight as the caller of `reconcile` holds them. */
  readonly actual: number;
}
