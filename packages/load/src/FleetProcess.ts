import { spawn, type ChildProcess } from 'node:child_process';
import { createWriteStream } from 'node:fs';

const READY_TIMEOUT_MS = 20_000;

/** A child process that prints one line `ready name=value ...` when it serves. */
export class FleetProcess {
  private constructor(
    private readonly child: ChildProcess,
    /** Values of the line `ready`, for example ports. */
    public readonly values: ReadonlyMap<string, number>,
  ) {}

  /** Starts a process and resolves when it is ready; its log goes to `logFile`. */
  public static start(command: readonly string[], logFile: string): Promise<FleetProcess> {
    const [program = process.execPath, ...args] = command;
    const child = spawn(program, args, { stdio: ['ignore', 'pipe', 'pipe'] });
    child.stderr.pipe(createWriteStream(logFile, { flags: 'a' }));
    return new Promise((resolve, reject) => {
      const timer = setTimeout(
        () => reject(new Error(`${command.join(' ')}: not ready in time`)),
        READY_TIMEOUT_MS,
      );
      child.once('exit', (code) => reject(new Error(`${command.join(' ')}: exit code ${String(code)}`)));
      let text = '';
      child.stdout.setEncoding('utf8');
      child.stdout.on('data', (chunk: string) => {
        text += chunk;
        const line = /^ready (.*)$/m.exec(text)?.[1];
        if (line === undefined) return;
        clearTimeout(timer);
        resolve(new FleetProcess(child, parseValues(line)));
      });
    });
  }

  /** Sends a signal. */
  public signal(name: NodeJS.Signals): void {
    this.child.kill(name);
  }

  /** Whether the process has ended. */
  public get hasEnded(): boolean {
    return this.child.exitCode !== null || this.child.signalCode !== null;
  }

  /** Resolves with the exit code when the process has ended; -1 after a signal. */
  public waitEnd(): Promise<number> {
    if (this.hasEnded) return Promise.resolve(this.child.exitCode ?? -1);
    return new Promise((resolve) => this.child.once('exit', (code) => resolve(code ?? -1)));
  }
}

function parseValues(line: string): ReadonlyMap<string, number> {
  const pairs = line.split(' ').map((pair) => pair.split('='));
  return new Map(pairs.map(([name = '', value = '']) => [name, Number(value)]));
}
