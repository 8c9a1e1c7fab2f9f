/** Where an entry task runs. */
export interface EntryIdentity {
  readonly serverId: string;
  readonly region: string;
  readonly failureDomain: string;
}
