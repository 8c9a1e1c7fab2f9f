import { Command } from '#cli/Command.js';
import type { CommandCall } from '#cli/CommandCall.js';
import type { ExitCode } from '#cli/ExitCode.js';
import { exitCodes } from '#cli/ExitCodes.js';
import { findOwnCommand } from '#cli/FindOwnCommand.js';
import { Demo } from '#load/Demo.js';

const DEFAULT_FOLDER = 'examples/pamoja';
const DEFAULT_SEED = 20_261_204;

/** Runs a deployment on loopback under load, stops the processes of one VM, and checks rules of the service. */
export class DemoCommand extends Command {
  public override readonly usage = 'demo [folder]';
  public override readonly summary =
    'Run a deployment on loopback under load, stop one VM, and check the rules of the service';
  public override readonly options = [
    { usage: '--seed <number>', summary: 'Seed of the generated load' },
    { usage: '--logs <names>', summary: 'Log names of the daemons, for example amaranthrouter:*' },
  ];
  public override readonly examples = ['demo', 'demo examples/kanwa --seed 7'];

  public override async run({ args, options, terminal }: CommandCall): Promise<ExitCode> {
    const folder = args[0] ?? DEFAULT_FOLDER;
    const seed = Number(options.seed ?? DEFAULT_SEED);
    const logs = typeof options.logs === 'string' ? options.logs : '';
    const demo = new Demo({ command: findOwnCommand(), folder, seed, logs }, (line) => terminal.print(line));
    const rulesHeld = await demo.run();
    terminal.print(rulesHeld ? 'every rule held' : 'a rule was broken');
    return rulesHeld ? exitCodes.done : exitCodes.failed;
  }
}
