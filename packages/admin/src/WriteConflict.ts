/** The version in the store that made a conditional write fail. */
export interface WriteConflict {
  readonly version: number;
  readonly author: string;
}
