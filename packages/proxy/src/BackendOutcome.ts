/** How a request at the backend server ended, as input for the queue, slow start and quarantine. */
export interface BackendOutcome {
  readonly kind: 'answered' | 'shed' | 'expired' | 'stale' | 'unreachable' | 'lost' | 'cancelled';
  /** Time from sending the request to the end of its response, in milliseconds. */
  readonly serviceMs: number;
}
