/** Versions that one daemon has in force. */
export interface PropagationRow {
  readonly serverId: string;
  readonly region: string;
  readonly catalogueVersion: number;
  readonly intentVersion: number;
  /** Age of this information, in milliseconds. */
  readonly ageMs: number;
}
