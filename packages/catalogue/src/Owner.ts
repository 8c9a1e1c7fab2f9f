/** A tenant that owns catalogue entries and may change them. */
export interface Owner {
  /** Name of the tenant, as in the header `amr-tenant`. */
  readonly name: string;
  /** SHA-256 digests, in hex, of the tokens that prove this owner to the administration API. */
  readonly tokenHashes: readonly string[];
  /** Whether this owner may change entries of every owner, services, regions and operator intent. */
  readonly operator: boolean;
}
