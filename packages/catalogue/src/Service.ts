/** A service that backend servers provide. */
export interface Service {
  readonly name: string;
  /** Whether requests carry a key that exactly one backend server owns. */
  readonly keyed: boolean;
  /** Number of cells into which the key space is divided; at least 1. */
  readonly cells: number;
  /** Time that a request may run past the end of the lease, in milliseconds; a takeover waits for this time. */
  readonly orderGraceMs: number;
}
