/** Server id and location of the daemon that a task runs in. */
export interface EntryIdentity {
  readonly serverId: string;
  readonly region: string;
  readonly failureDomain: string;
}
