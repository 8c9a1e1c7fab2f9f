import type { CommandCall } from '#cli/CommandCall.js';
import type { CommandOption } from '#cli/CommandOption.js';
import type { ExitCode } from '#cli/ExitCode.js';

/** One command of the binary. */
export abstract class Command {
  /** Name and arguments: `drain <kind> <name>`; `[name]` is optional, `[...names]` takes several. */
  public abstract readonly usage: string;

  public abstract readonly summary: string;

  /** Options besides those that all commands have. */
  public readonly options: readonly CommandOption[] = [];

  /** Calls as they are typed after the name of the binary. */
  public readonly examples: readonly string[] = [];

  /** Runs the command; throws a `CommandError` or any other `RouterError` if it fails. */
  public abstract run(call: CommandCall): Promise<ExitCode>;
}
