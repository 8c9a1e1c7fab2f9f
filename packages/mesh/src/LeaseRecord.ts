/** Stored lease of a daemon, written with each renewal. */
export interface LeaseRecord {
  readonly serverId: string;
  readonly service: string;
  readonly processId: string;
  /** Term of the lease; a new one begins after a revocation. */
  readonly term: number;
  /** Incarnation of the backend server that holds the keys. */
  readonly incarnation: string;
  /** Set by the daemon that takes over the keys: the holder must not renew this term. */
  readonly revoked: boolean;
  /**
   * Increases with each renewal, as the store assigns no new revision to a record that is written unchanged.
   */
  readonly renewal: number;
  /** Work of the last seconds on this daemon's keys, in milliseconds per second. */
  readonly workMsPerSecond: number;
  readonly slots: number;
  /** Whether the backend server can take more keys now. */
  readonly accepts: boolean;
}
