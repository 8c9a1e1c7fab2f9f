/** A service that backend servers offer. */
export interface Service {
  readonly name: string;
  /** Whether requests carry a key that exactly one backend server owns. */
  readonly keyed: boolean;
  /** Number of cells that the key space is divided into; at least 1. */
  readonly cells: number;
  /** Time that an order may run past the end of the lease, in milliseconds; a takeover waits as long. */
  readonly orderGraceMs: number;
}
