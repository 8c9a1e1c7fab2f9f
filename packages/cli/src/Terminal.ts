/** Output, environment variables and clock of a command. */
export abstract class Terminal {
  /** Prints text and a line break to standard output. */
  public abstract print(text: string): void;

  /** Prints text and a line break to standard error; for messages that are not the result. */
  public abstract printError(text: string): void;

  /** Returns the value of an environment variable; empty if it is not set. */
  public abstract readEnv(name: string): string;

  /** Resolves after `ms` milliseconds. */
  public abstract wait(ms: number): Promise<void>;

  /** Returns the monotonic time in milliseconds. */
  public abstract nowMs(): number;
}
