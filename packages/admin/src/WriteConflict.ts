/** The change that won against a conditional update. */
export interface WriteConflict {
  readonly version: number;
  readonly author: string;
}
