/** A key with so much load that it has its own owner, independent of its hash slot. */
export interface HotKey {
  readonly service: string;
  readonly placement: string;
  /** Hash of the key in hex; cells do not contain keys. */
  readonly keyHash: string;
  readonly owner: string;
  readonly token: number;
  readonly requestsPerSecond: number;
}
