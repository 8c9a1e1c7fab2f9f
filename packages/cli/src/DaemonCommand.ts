import createDebug from 'debug';
import { formatFault } from '#catalogue/FormatFault.js';
import { Command } from '#cli/Command.js';
import type { CommandCall } from '#cli/CommandCall.js';
import type { ExitCode } from '#cli/ExitCode.js';
import { exitCodes } from '#cli/ExitCodes.js';
import { readTextFile } from '#cli/ReadTextFile.js';
import { exitOnUncaught } from '#core/ExitOnUncaught.js';
import { Logger } from '#core/Logger.js';
import { Daemon } from '#daemon/Daemon.js';
import { parseSettings } from '#settings/ParseSettings.js';
import type { Settings } from '#settings/Settings.js';

/** Runs a daemon until SIGTERM or SIGINT, then shuts it down gracefully; a second signal ends it at once. */
export class DaemonCommand extends Command {
  public override readonly usage = 'daemon <settings>';
  public override readonly summary = 'Run a daemon for the backend server on the same VM';
  public override readonly examples = ['daemon settings.jsonc'];

  public override run({ args, terminal }: CommandCall): Promise<ExitCode> {
    const file = args[0] ?? '';
    return parseSettings(readTextFile(file), file).caseOf({
      Left: (faults) => {
        terminal.print(faults.map(formatFault).join('\n'));
        return Promise.resolve<ExitCode>(exitCodes.faults);
      },
      Right: (settings) => serve(settings, (line) => terminal.print(line)),
    });
  }
}

async function serve(settings: Settings, print: (line: string) => void): Promise<ExitCode> {
  createDebug.enable(settings.logs);
  const daemon = new Daemon(settings);
  exitOnUncaught({
    logger: new Logger('cli'),
    halt: () => void daemon.stop(),
    flush: (done) => done(),
  });
  const ports = await daemon.start();
  print(
    `ready ${Object.entries(ports)
      .map(([name, port]) => `${name}=${String(port)}`)
      .join(' ')}`,
  );
  await waitForSignal();
  for (const name of ['SIGTERM', 'SIGINT'] as const) process.once(name, () => process.exit(exitCodes.failed));
  await daemon.shutDown();
  return process.exit(exitCodes.done);
}

function waitForSignal(): Promise<void> {
  return new Promise((resolve) => {
    process.once('SIGTERM', () => resolve());
    process.once('SIGINT', () => resolve());
  });
}
