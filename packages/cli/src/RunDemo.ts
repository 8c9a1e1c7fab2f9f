import { findOwnCommand } from '#cli/FindOwnCommand.js';
import { Demo } from '#load/Demo.js';

/** Runs the demo with a deployment folder; returns exit code 1 if a rule did not hold. */
export async function runDemo(folder: string, seed: number, logs: string): Promise<number> {
  const print = (line: string): boolean => process.stdout.write(`${line}\n`);
  const isHeld = await new Demo({ command: findOwnCommand(), folder, seed, logs }, print).run();
  print(isHeld ? 'every rule held' : 'a rule was broken');
  return isHeld ? 0 : 1;
}
