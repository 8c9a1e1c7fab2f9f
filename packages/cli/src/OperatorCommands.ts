import { CatalogueCommand } from '#cli/CatalogueCommand.js';
import { CheckCommand } from '#cli/CheckCommand.js';
import type { Command } from '#cli/Command.js';
import { ConfirmLostCommand } from '#cli/ConfirmLostCommand.js';
import { DrainCommand } from '#cli/DrainCommand.js';
import { ExplainCommand } from '#cli/ExplainCommand.js';
import { HeldCommand } from '#cli/HeldCommand.js';
import { OwnersCommand } from '#cli/OwnersCommand.js';
import { ReturnCommand } from '#cli/ReturnCommand.js';
import { StatsCommand } from '#cli/StatsCommand.js';
import { StatusCommand } from '#cli/StatusCommand.js';
import { TraceCommand } from '#cli/TraceCommand.js';

/** Commands that need only files, logs or the administration API, and start no server. */
export const operatorCommands: readonly Command[] = [
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
  new TraceCommand(),
];
