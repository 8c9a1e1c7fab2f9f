import type { Terminal } from '#cli/Terminal.js';

/** Arguments, options and terminal of one run of a command. */
export interface CommandCall {
  /** Arguments in order; optional arguments may be missing at the end. */
  readonly args: readonly string[];
  /** Options by name in camel case. A flag is a boolean, and a value is a string or a number. */
  readonly options: Readonly<Record<string, unknown>>;
  readonly terminal: Terminal;
}
