/** A request that is held because servers failed while they ran it. */
export interface HeldRequest {
  /** Fingerprint of the request. */
  readonly id: string;
  readonly team: string;
  readonly service: string;
  readonly class: string;
  /** Servers that failed while they ran it. */
  readonly servers: readonly string[];
  readonly sinceMs: number;
}
