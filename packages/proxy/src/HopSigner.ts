/** Signs and verifies the heads of requests that are forwarded between daemons. */
export abstract class HopSigner {
  /** Returns the value of the header `amr-hop` for these fields, which `formatHopFields` creates. */
  public abstract sign(fields: string): string;

  /** Returns whether a daemon of the fleet created `signature` for these fields, and did so recently. */

  public abstract verify(fields: string, signature: string): boolean;
}
