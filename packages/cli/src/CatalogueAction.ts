import type { AdminClient } from '#cli/AdminClient.js';
import type { CommandCall } from '#cli/CommandCall.js';
import type { ExitCode } from '#cli/ExitCode.js';

/** One action of the command `catalogue`; `operand` is the argument after its name, empty without one. */
export type CatalogueAction = (client: AdminClient, call: CommandCall, operand: string) => Promise<ExitCode>;
