import { CatalogueCommand } from '#cli/CatalogueCommand.js';
import { CheckCommand } from '#cli/CheckCommand.js';
import type { Command } from '#cli/Command.js';
import { ConfirmLostCommand } from '#cli/ConfirmLostCommand.js';
import { DaemonCommand } from '#cli/DaemonCommand.js';
import { DemoCommand } from '#cli/DemoCommand.js';
import { DrainCommand } from '#cli/DrainCommand.js';
import { ExplainCommand } from '#cli/ExplainCommand.js';
import { HeldCommand } from '#cli/HeldCommand.js';
import { OwnersCommand } from '#cli/OwnersCommand.js';
import { ProcessTerminal } from '#cli/ProcessTerminal.js';
import { ReturnCommand } from '#cli/ReturnCommand.js';
import { runCli } from '#cli/RunCli.js';
import { StandinBackendCommand } from '#cli/StandinBackendCommand.js';
import { StandinStoreCommand } from '#cli/StandinStoreCommand.js';
import { StatsCommand } from '#cli/StatsCommand.js';
import { StatusCommand } from '#cli/StatusCommand.js';

declare const AMARANTHROUTER_VERSION: string | undefined;

const version = typeof AMARANTHROUTER_VERSION === 'undefined' ? 'development' : AMARANTHROUTER_VERSION;

const commands: readonly Command[] = [
  new DaemonCommand(),
  new DemoCommand(),
  new StandinStoreCommand(),
  new StandinBackendCommand(),
  new CheckCommand(),
  new CatalogueCommand(),
  new DrainCommand(),
  new ReturnCommand(),
  new ConfirmLostCommand(),
  new OwnersCommand(),
  new StatusCommand(),
  new StatsCommand(),
  new HeldCommand(),
  new ExplainCommand(),
];

void runCli(commands, process.argv, version, new ProcessTerminal()).then((exitCode) => {
  process.exitCode = exitCode;
});
