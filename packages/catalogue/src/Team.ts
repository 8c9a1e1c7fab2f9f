/** A team that owns catalogue entries and may change them. */
export interface Team {
  /** Name of the team, as in the header `amr-team`. */
  readonly name: string;
  /** SHA-256 digests, in hex, of the tokens with which the team authenticates to the administration API. */
  readonly tokenHashes: readonly string[];
  /**
   * Whether the team may change services, owners, regions, operator intent and, within limits, the entries of others.
   */
  readonly operator: boolean;
}
