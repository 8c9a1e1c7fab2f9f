/** Number of calls that the stand-in store has received since its start. */
export interface StoreStats {
  readonly reads: number;
  readonly writes: number;
  readonly conflicts: number;
  readonly watches: number;
}
