/** A write whose reply was lost. */
export interface PendingWrite {
  readonly mark: string;
  /** Version against which it was written. */
  readonly ifVersion: number;
}
