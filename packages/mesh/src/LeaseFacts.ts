/** What a daemon reports of its keys with each renewal. */
export interface LeaseFacts {
  readonly incarnation: string;
  /** Work of the last seconds, in milliseconds a second. */
  readonly workMsPerSecond: number;
  readonly slots: number;
  readonly waitMs: number;
  /** Whether the backend server takes keys at present. */
  readonly accepts: boolean;
}
