/** Parsed line of a daemon's log. */
export interface LogEntry {
  /** File from which the line was read. */
  readonly file: string;
  /** Wall-clock time on the daemon's VM, in milliseconds since the Unix epoch. */
  readonly atMs: number;
  readonly event: string;
  readonly fields: ReadonlyMap<string, string>;
  /** The line as it was written. */
  readonly text: string;
}
