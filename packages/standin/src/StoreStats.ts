/** Counters of the calls that the stand-in object store has received since its start. */
export interface StoreStats {
  readonly reads: number;
  readonly writes: number;
  readonly conflicts: number;
  readonly watches: number;
}
