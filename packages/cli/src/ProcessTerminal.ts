import { performance } from 'node:perf_hooks';
import { setTimeout } from 'node:timers/promises';
import { Terminal } from '#cli/Terminal.js';

/** Terminal of this process. */
export class ProcessTerminal extends Terminal {
  public override print(text: string): void {
    process.stdout.write(`${text}\n`);
  }

  public override printError(text: string): void {
    process.stderr.write(`${text}\n`);
  }

  public override readEnv(name: string): string {
    return process.env[name] ?? '';
  }

  public override async wait(ms: number): Promise<void> {
    await setTimeout(ms);
  }

  public override nowMs(): number {
    return performance.now();
  }
}
