/** A team that owns catalogue entries and may change them. */
export interface Team {
  /** Name of the team, as in the header `amr-team`. */
  readonly name: string;
  /** SHA-256 digests, in hex, of the tokens that prove this owner to the administration API. */
  readonly tokenHashes: readonly string[];
  /** Whether this owner may change entries of every owner, services, regions and operator intent. */
  readonly operator: boolean;
}
