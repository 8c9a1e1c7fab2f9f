/** Where a daemon runs. */
export interface Place {
  readonly serverId: string;
  readonly failureDomain: string;
  readonly region: string;
  /** Service of the backend server beside it. */
  readonly service: string;
}
