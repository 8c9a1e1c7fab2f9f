/** Versions that one daemon has in force. */
export interface PropagationRow {
  readonly serverId: string;
  readonly region: string;
  readonly catalogueVersion: number;
  readonly intentVersion: number;
  /** Time since the versions were reported, in milliseconds. */
  readonly ageMs: number;
}
