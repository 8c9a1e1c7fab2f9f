/** An option of a command. */
export interface CommandOption {
  /** Name and value as the help shows them: `--limit <n>`; without a value it is a switch. */
  readonly usage: string;
  readonly summary: string;
}
