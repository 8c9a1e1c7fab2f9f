/** Outcomes of the requests of one stream, each as a fraction of all its requests. */
export interface OverloadResult {
  readonly team: string;
  readonly onTime: number;
  readonly late: number;
  readonly refused: number;
  /** Fraction of the capacity that the stream used. */
  readonly used: number;
}
