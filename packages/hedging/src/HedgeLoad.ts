/** The part of a load report that tells whether a backend server has a free slot. */
export interface HedgeLoad {
  readonly running: number;
  readonly queued: number;
  readonly slots: number;
}
