import { Command } from '#cli/Command.js';
import type { CommandCall } from '#cli/CommandCall.js';
import type { ExitCode } from '#cli/ExitCode.js';
import { StandinBackendServer } from '#standin/StandinBackendServer.js';
import type { StandinBackendServerOptions } from '#standin/StandinBackendServerOptions.js';

/** Runs a simulated backend server until a signal ends the process. */
export class StandinBackendCommand extends Command {
  public override readonly usage = 'standin-backend <options>';
  public override readonly summary = 'Run a simulated backend server on loopback; its options are JSON';

  public override async run({ args, terminal }: CommandCall): Promise<ExitCode> {
    const options = JSON.parse(args[0] ?? '{}') as StandinBackendServerOptions;
    const port = await new StandinBackendServer(options).start();
    terminal.print(`ready port=${port}`);
    return new Promise(() => undefined);
  }
}
