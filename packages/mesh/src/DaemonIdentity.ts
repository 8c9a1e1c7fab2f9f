/** Where a daemon runs. */
export interface DaemonIdentity {
  readonly serverId: string;
  readonly failureDomain: string;
  readonly region: string;
  /** Service of the backend server beside it. */
  readonly service: string;
}
