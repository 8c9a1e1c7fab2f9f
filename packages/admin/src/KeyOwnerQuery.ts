/** A key and the placements in which to find its owner. */
export interface KeyOwnerQuery {
  readonly service: string;
  readonly key: string;
  /** Home regions of the placement; empty for every placement in use. */
  readonly regions: readonly string[];
}
