/** What became of the requests of one stream, as parts of all of them, and its latency in milliseconds. */
export interface OverloadResult {
  readonly team: string;
  readonly onTime: number;
  readonly late: number;
  readonly refused: number;
  /** Part of the capacity that the stream used. */
  readonly used: number;
}
