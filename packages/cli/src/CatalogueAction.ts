import type { AdminClient } from '#cli/AdminClient.js';
import type { CommandCall } from '#cli/CommandCall.js';
import type { ExitCode } from '#cli/ExitCode.js';

/** Action of the command `catalogue`. `operand` is the argument after the name of the action, or empty. */
export type CatalogueAction = (client: AdminClient, call: CommandCall, operand: string) => Promise<ExitCode>;
