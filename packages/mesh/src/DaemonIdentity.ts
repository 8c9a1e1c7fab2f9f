/** Identity and location of a daemon. */
export interface DaemonIdentity {
  readonly serverId: string;
  readonly failureDomain: string;
  readonly region: string;
  /** Service of the backend server on its VM. */
  readonly service: string;
}
