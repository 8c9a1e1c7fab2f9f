/** What a store's lease record says of one VM, as far as a takeover depends on it. */
export interface LeaseStanding {
  readonly term: number;
  readonly revoked: boolean;
}
