/** A write whose reply was lost, so that it may or may not have been accepted. */
export interface PendingWrite {
  readonly mark: string;
  /** Version that the object had to have for the write. */
  readonly ifVersion: number;
}
