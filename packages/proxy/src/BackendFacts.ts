/** What a backend server says of itself when it announces itself to the daemon beside it. */
export interface BackendFacts {
  readonly host: string;
  readonly port: number;
  readonly service: string;
  /** Requests that it runs at once. */
  readonly slots: number;
  /** Connections that it allows. */
  readonly connections: number;
  /** Whether it refuses orders without a current grant. */
  readonly checksToken: boolean;
  /** Random id of its process. */
  readonly incarnation: string;
  /** Whether it starts to leave. */
  readonly leaving: boolean;
  /** Its own report of its load, as requests in flight; may lag. */
  readonly reportedLoad: number;
}
