/** A daemon that may read the store for others. */
export interface ReaderCandidate {
  readonly serverId: string;
  readonly failureDomain: string;
  /** `host:port` at which the daemon accepts calls of other daemons. */
  readonly address: string;
}
