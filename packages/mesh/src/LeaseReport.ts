/** What a daemon reports of its keys with each renewal. */
export interface LeaseReport {
  readonly incarnation: string;
  /** Work that callers requested for its keys in the last second, in milliseconds per second. */
  readonly workMsPerSecond: number;
  readonly slots: number;
  /** Whether the backend server can take more keys now. */
  readonly accepts: boolean;
  /** Whether it owns keys and none of them is being moved. */
  readonly mayRelease: boolean;
}
