import type { Terminal } from '#cli/Terminal.js';

/** Arguments and options of one call of a command. */
export interface CommandCall {
  /** Arguments in order; an optional one that is missing is left out. */
  readonly args: readonly string[];
  /** Options by name in camel case; a switch is `true` or `false`, a value may be a string or a number. */
  readonly options: Readonly<Record<string, unknown>>;
  readonly terminal: Terminal;
}
