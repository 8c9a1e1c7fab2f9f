/** Service and load of the measurement `imbalance`, in which the hot keys change. */
export interface ImbalanceScenario {
  readonly members: number;
  readonly hotKeys: number;
  /** Exponent of the Zipf popularity of the hot keys. */
  readonly exponent: number;
  /** Share of the requests that go to the hot keys; the rest is spread over all slots. */
  readonly hotShare: number;
  readonly requestsPerSecond: number;
  /** Time after which all hot keys are replaced, in seconds. */
  readonly changeEverySeconds: number;
  readonly durationSeconds: number;
  /** Time constant of the average of load reports, in milliseconds. */
  readonly smoothingMs: number;
}
