/** Where a command prints to, and what it learns from its surroundings. */
export abstract class Terminal {
  /** Prints text and a line break to standard output. */
  public abstract print(text: string): void;

  /** Prints text and a line break to standard error, for messages that are not the result. */
  public abstract printError(text: string): void;

  /** Value of an environment variable; empty if it is not set. */
  public abstract readEnv(name: string): string;

  /** Resolves after a time in milliseconds. */
  public abstract wait(ms: number): Promise<void>;

  /** Monotonic time in milliseconds. */
  public abstract nowMs(): number;
}
