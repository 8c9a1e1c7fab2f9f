/** One version of the catalogue in its history. */
export interface HistoryItem {
  readonly version: number;
  readonly author: string;
  /** Wall-clock time of the change, in milliseconds since the Unix epoch. */
  readonly timeMs: number;
}
