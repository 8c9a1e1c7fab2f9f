/** A key with a row of its own in a cell. */
export interface HotKey {
  readonly service: string;
  readonly placement: string;
  /** Hash of the key in hex; keys themselves are not kept. */
  readonly keyHash: string;
  readonly owner: string;
  readonly token: number;
  readonly requestsPerSecond: number;
}
