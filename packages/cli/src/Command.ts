import type { CommandCall } from '#cli/CommandCall.js';
import type { CommandOption } from '#cli/CommandOption.js';
import type { ExitCode } from '#cli/ExitCode.js';

/** Base class of the commands. */
export abstract class Command {
  /** Name and arguments, for example `drain <kind> <name>`; `[name]` is optional, `[...names]` takes several values. */
  public abstract readonly usage: string;

  /** One line for the help. */
  public abstract readonly summary: string;

  /** Options in addition to the global ones. */
  public readonly options: readonly CommandOption[] = [];

  /** Examples, without the name of the binary. */
  public readonly examples: readonly string[] = [];

  /** Runs the command; throws a `CommandError` or any other `RouterError` if it fails. */
  public abstract run(call: CommandCall): Promise<ExitCode>;
}
