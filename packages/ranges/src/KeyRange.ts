/** Range of the keys `from` to `to`, both inclusive. */
export interface KeyRange {
  readonly from: number;
  readonly to: number;
}
