/** An option of a command. */
export interface CommandOption {
  /** Name and value as the help shows them, for example `--limit <n>`; an option without a value is a flag. */
  readonly usage: string;
  readonly summary: string;
}
