/** One line of a daemon's log. */
export interface LogEntry {
  /** File that it was read from. */
  readonly file: string;
  /** Wall-clock time of the daemon, in milliseconds since 1970. */
  readonly atMs: number;
  readonly event: string;
  readonly fields: ReadonlyMap<string, string>;
  /** The line as it was written. */
  readonly text: string;
}
