import { readFileSync } from 'node:fs';
import createDebug from 'debug';
import { Daemon } from '#daemon/Daemon.js';
import { formatFault } from '#catalogue/FormatFault.js';
import { parseSettings } from '#settings/ParseSettings.js';

/** Runs a daemon until SIGTERM or SIGINT; a second signal ends it at once. Returns exit code 3 for bad settings. */
export async function runDaemon(fileName: string): Promise<number> {
  const parsed = parseSettings(readFileSync(fileName, 'utf8'), fileName);
  const settings = parsed.toMaybe().extractNullable();
  if (settings === null) {
    parsed.ifLeft((faults) => faults.forEach((fault) => process.stderr.write(`${formatFault(fault)}\n`)));
    return 3;
  }
  createDebug.enable(settings.logs);
  const daemon = new Daemon(settings);
  const ports = await daemon.start();
  const pairs = Object.entries(ports).map(([name, port]) => `${name}=${String(port)}`);
  process.stdout.write(`ready ${pairs.join(' ')}\n`);
  await waitForSignal();
  process.once('SIGTERM', () => process.exit(1));
  process.once('SIGINT', () => process.exit(1));
  await daemon.shutDown();
  return 0;
}

function waitForSignal(): Promise<void> {
  return new Promise((resolve) => {
    process.once('SIGTERM', () => resolve());
    process.once('SIGINT', () => resolve());
  });
}
