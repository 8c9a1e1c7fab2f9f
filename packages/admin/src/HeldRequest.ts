/** A request that is held because backend servers crashed while they ran it. */
export interface HeldRequest {
  /** Fingerprint that identifies repeats of the request. */
  readonly id: string;
  readonly team: string;
  readonly service: string;
  readonly class: string;
  /** Ids of the servers that crashed while they ran it. */
  readonly servers: readonly string[];
  /** Wall-clock time of the hold, in milliseconds since the Unix epoch. */
  readonly sinceMs: number;
}
