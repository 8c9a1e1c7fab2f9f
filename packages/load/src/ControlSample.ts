/** Mean cost of control of one daemon of a fleet. */
export interface ControlSample {
  readonly daemons: number;
  readonly cpuPercent: number;
  /** Kilobytes per second that a daemon sent to other daemons. */
  readonly kbPerSecond: number;
  readonly residentBytes: number;
  /** Store calls of the whole fleet. */
  readonly storeCallsPerSecond: number;
}
