/** Behaviour of a stand-in backend server. */
export interface StandinBackendServerOptions {
  readonly service: string;
  /** Requests that run at once; further ones are shed. */
  readonly slots: number;
  /** Connections that it allows; further ones are closed at once. */
  readonly connections: number;
  readonly checksToken: boolean;
  /** Mean time of one request, in milliseconds. */
  readonly serviceMs: number;
  /** Time from start until full capacity, in milliseconds; 0 for none. */
  readonly coldStartMs: number;
  /** URL of the daemon's announcement port. */
  readonly announceUrl: string;
  /** Lag of the load report, in milliseconds. */
  readonly reportLagMs: number;
  readonly seed: number;
  /** File to which the start and the end of each run are appended, so that they outlive a crash; empty for none. */
  readonly recordFile: string;
}
