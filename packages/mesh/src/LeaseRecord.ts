/** What a daemon writes with each renewal of its lease. */
export interface LeaseRecord {
  readonly serverId: string;
  readonly service: string;
  readonly processId: string;
  /** Term of the lease; a new one begins after a revocation. */
  readonly term: number;
  /** Run of the backend server that holds the keys. */
  readonly incarnation: string;
  /** Set by the daemon that takes the keys over: the holder may not renew any more. */
  readonly revoked: boolean;
  /** Rises with each renewal: the store gives a record that is written unchanged no new revision. */
  readonly renewal: number;
  /** Work of the last seconds on the keys of this daemon, in milliseconds a second. */
  readonly workMsPerSecond: number;
  readonly slots: number;
  /** Whether the backend server takes keys at present. */
  readonly accepts: boolean;
}
