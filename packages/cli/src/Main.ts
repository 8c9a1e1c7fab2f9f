import type { Command } from '#cli/Command.js';
import { DaemonCommand } from '#cli/DaemonCommand.js';
import { DemoCommand } from '#cli/DemoCommand.js';
import { operatorCommands } from '#cli/OperatorCommands.js';
import { ProcessTerminal } from '#cli/ProcessTerminal.js';
import { runCli } from '#cli/RunCli.js';
import { StandinBackendCommand } from '#cli/StandinBackendCommand.js';
import { StandinStoreCommand } from '#cli/StandinStoreCommand.js';

declare const AMARANTHROUTER_VERSION: string | undefined;

const version = typeof AMARANTHROUTER_VERSION === 'undefined' ? 'development' : AMARANTHROUTER_VERSION;

const commands: readonly Command[] = [
  new DaemonCommand(),
  new DemoCommand(),
  new StandinStoreCommand(),
  new StandinBackendCommand(),
  ...operatorCommands,
];

void runCli(commands, process.argv, version, new ProcessTerminal()).then((exitCode) => {
  process.exitCode = exitCode;
});
