/** The store was restored from a backup, or a process learned that it had been restored before the process started. */
export interface EraChange {
  /** Number of restores of the store. */
  readonly era: number;
  /** Whether this process knew no earlier era, so that its state holds nothing from before the restore. */
  readonly isFirst: boolean;
}
