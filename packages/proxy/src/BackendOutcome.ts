/** How the run of an order at the backend server ended, for the queue, slow start and quarantine. */
export interface BackendOutcome {
  readonly kind: 'answered' | 'shed' | 'expired' | 'stale' | 'unreachable' | 'lost' | 'cancelled';
  /** Time from sending the order to the end of the answer, in milliseconds. */
  readonly serviceMs: number;
}
