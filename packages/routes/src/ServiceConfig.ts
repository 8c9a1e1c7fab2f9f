/** Configuration of a service. */
export interface ServiceConfig {
  readonly name: string;
  /** Number of connections that one backend server accepts from all callers. */
  readonly maxConnections: number;
  /** Requests per second that a cold backend server tolerates. */
  readonly coldPerSecond: number;
  /** Whether each request carries a key that one backend server owns. */
  readonly keyed: boolean;
}
