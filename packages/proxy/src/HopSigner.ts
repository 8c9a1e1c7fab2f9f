/** Proves the head of a forwarded request to another daemon. */
export abstract class HopSigner {
  /** Returns the value of the header `amr-hop` for a head with these fields. */
  public abstract sign(fields: string): string;

  /** Returns whether `signature` was made recently by a daemon of the fleet for these fields. */
  public abstract verify(fields: string, signature: string): boolean;
}
