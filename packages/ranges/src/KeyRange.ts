/** Keys `from` to `to`, both included. */
export interface KeyRange {
  readonly from: number;
  readonly to: number;
}
