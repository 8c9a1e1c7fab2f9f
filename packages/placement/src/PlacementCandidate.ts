/** A backend server that may run a request without a key. */
export interface PlacementCandidate {
  readonly serverId: string;
  readonly region: string;
  readonly failureDomain: string;
  readonly slots: number;
}
