import type { Command } from '#cli/Command.js';
import { operatorCommands } from '#cli/OperatorCommands.js';
import { ProcessTerminal } from '#cli/ProcessTerminal.js';
import { runCli } from '#cli/RunCli.js';

declare const AMARANTHROUTER_VERSION: string | undefined;

const version = typeof AMARANTHROUTER_VERSION === 'undefined' ? 'development' : AMARANTHROUTER_VERSION;

const commands: readonly Command[] = [...operatorCommands];

void runCli(commands, process.argv, version, new ProcessTerminal()).then((exitCode) => {
  process.exitCode = exitCode;
});
