import { CommandError } from '#cli/CommandError.js';
import { exitCodes } from '#cli/ExitCodes.js';

/** Error that ends a command because of wrong arguments or options. */
export class UsageError extends CommandError {
  public constructor(message: string) {
    super(exitCodes.usage, { code: 'usage', step: 'settings', peer: '' }, message);
    this.name = 'UsageError';
  }
}
