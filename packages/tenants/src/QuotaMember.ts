/** A daemon that can hold the quotas of tenants. */
export interface QuotaMember {
  readonly serverId: string;
  /** `host:port` at which it accepts calls of other daemons. */
  readonly address: string;
  /** Identifies the run of the daemon that published the entry. */
  readonly processId: string;
}
