/** Location of the daemon that chooses a server. */
export interface PlacementOrigin {
  readonly region: string;
  readonly failureDomain: string;
}
