/** Target and duration of a closed-loop load. */
export interface LoopOptions {
  readonly url: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  /** Keys that are used in turn. */
  readonly keys: readonly string[];
  readonly connections: number;
  readonly durationMs: number;
}
