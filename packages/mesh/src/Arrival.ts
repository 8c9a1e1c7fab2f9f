/** A request that was read and waits until the work on it begins. */
export interface Arrival {
  /** Number of its exchange. */
  readonly exchange: number;
  readonly body: Buffer;
}
