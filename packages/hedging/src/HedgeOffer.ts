/** Permission to hedge a request, and where its second copy may go. */
export interface HedgeOffer<S> {
  /** Requests of one kind are expected to take about the same time. */
  readonly kind: string;
  /** Servers that may run the request, in no order; may contain the one that it was sent to. */
  readonly candidates: readonly S[];
}
