/** Result of a simulation of a service without keys. */
export interface PlacementOutcome {
  readonly requests: number;
  /** Fraction of the requests that some server accepted. */
  readonly served: number;
  readonly meanMs: number;
  readonly p95Ms: number;
  readonly p99Ms: number;
  /** Work of the busiest server relative to its speed, divided by the mean of all servers. */
  readonly busiest: number;
  /** Fractions of the served requests that left the failure domain (within the region), and the region. */
  readonly otherDomain: number;
  readonly otherRegion: number;
  /** Fraction of the requests that reached the first server, relative to an equal share. */
  readonly firstShare: number;
  /** The same of the last server from 3 s after it joined. */
  readonly joinedShare: number;
  /** Fraction of the attempts that were refused by a cold server. */
  readonly cold: number;
  /** Most requests that were sent to one server within 20 ms. */
  readonly herd: number;
}
