/** Cost of control for one daemon, as the mean over a fleet. */
export interface ControlSample {
  readonly daemons: number;
  readonly cpuPercent: number;
  /** Kilobytes a second that a daemon sent to other daemons. */
  readonly kbPerSecond: number;
  readonly residentBytes: number;
  /** Store calls of the whole fleet. */
  readonly storeCallsPerSecond: number;
}
