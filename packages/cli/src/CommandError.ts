import { RouterError } from '#core/RouterError.js';
import type { RouterErrorFields } from '#core/RouterErrorFields.js';
import type { ExitCode } from '#cli/ExitCode.js';

/** Error that ends a command with an exit code. `lines` are printed below the message. */
export class CommandError extends RouterError {
  public readonly exitCode: ExitCode;
  public readonly lines: readonly string[];

  public constructor(
    exitCode: ExitCode,
    fields: Pick<RouterErrorFields, 'code' | 'step' | 'peer'>,
    message: string,
    lines: readonly string[] = [],
  ) {
    super({ ...fields, ran: 'not run', status: 0 }, message);
    this.name = 'CommandError';
    this.exitCode = exitCode;
    this.lines = lines;
  }
}
