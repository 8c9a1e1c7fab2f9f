/** Service, capacity and timing of a stand-in backend server. */
export interface StandinBackendServerOptions {
  readonly service: string;
  /** Number of requests that run at once; further ones are shed. */
  readonly slots: number;
  /** Number of open connections; further ones are closed immediately. */
  readonly connections: number;
  /** Whether requests with an ownership token run only under a current grant. */
  readonly checksToken: boolean;
  /** Mean duration of a request, in milliseconds. */
  readonly serviceMs: number;
  /** Time from start until full capacity, in milliseconds; 0 for none. */
  readonly coldStartMs: number;
  /** URL of the daemon's announcement port. */
  readonly announceUrl: string;
  /** Delay until a change of load appears in the load report, in milliseconds. */
  readonly reportLagMs: number;
  readonly seed: number;
  /** File to which start and end of each run are appended, so that the records survive a crash; empty for none. */
  readonly recordFile: string;
}
