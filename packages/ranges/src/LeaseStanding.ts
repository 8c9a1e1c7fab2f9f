/** The part of a stored lease record on which a takeover of keys depends. */
export interface LeaseStanding {
  readonly term: number;
  readonly revoked: boolean;
}
