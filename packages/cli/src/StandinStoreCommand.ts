import { Command } from '#cli/Command.js';
import type { CommandCall } from '#cli/CommandCall.js';
import type { ExitCode } from '#cli/ExitCode.js';
import { ObjectStoreServer } from '#standin/ObjectStoreServer.js';

/** Runs a simulated object store until a signal ends the process. */
export class StandinStoreCommand extends Command {
  public override readonly usage = 'standin-store';
  public override readonly summary = 'Run a simulated object store on loopback';

  public override async run({ terminal }: CommandCall): Promise<ExitCode> {
    const port = await new ObjectStoreServer().start(0);
    terminal.print(`ready port=${port}`);
    return new Promise(() => undefined);
  }
}
