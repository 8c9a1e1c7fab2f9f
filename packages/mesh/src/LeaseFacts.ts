/** What a daemon reports of its keys with each renewal. */
export interface LeaseFacts {
  readonly incarnation: string;
  /** Work asked for in the last second, in milliseconds a second. */
  readonly workMsPerSecond: number;
  readonly slots: number;
  /** Whether the backend server takes keys at present. */
  readonly accepts: boolean;
  /** Whether it has keys, none of which is being moved. */
  readonly mayRelease: boolean;
}
