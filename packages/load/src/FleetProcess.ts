import { spawn, type ChildProcess } from 'node:child_process';
import { createWriteStream, readFileSync } from 'node:fs';

const READY_TIMEOUT_MS = 20_000;
/** Duration of a tick of the times in /proc, in milliseconds (USER_HZ is 100 on Linux). */
const CPU_TICK_MS = 10;
const PAGE_BYTES = 4096;

/** A child process that prints one line `ready name=value ...` once it serves. */
export class FleetProcess {
  private constructor(
    private readonly child: ChildProcess,
    /** Values in the line `ready`, for example ports. */
    public readonly values: ReadonlyMap<string, number>,
  ) {}

  /**
   * Starts a process and resolves when it is ready; its log goes to `logFile`. The process is killed if it is not ready
   * in time, and when `abortSignal` is aborted.
   */
  public static start(
    command: readonly string[],
    logFile: string,
    abortSignal?: AbortSignal,
  ): Promise<FleetProcess> {
    const [program = process.execPath, ...args] = command;
    const child = spawn(program, args, {
      stdio: ['ignore', 'pipe', 'pipe'],
      killSignal: 'SIGKILL',
      ...(abortSignal === undefined ? {} : { signal: abortSignal }),
    });
    child.stderr.pipe(createWriteStream(logFile, { flags: 'a' }));
    return new Promise((resolve, reject) => {
      let isLate = false;
      const timer = setTimeout(() => {
        isLate = true;
        child.kill('SIGKILL');
      }, READY_TIMEOUT_MS);
      // An aborted process emits an error, too, but its exit follows.
      child.on('error', (err) => {
        if (child.pid === undefined) reject(err);
      });
      child.once('exit', (code) => {
        clearTimeout(timer);
        const cause = isLate ? 'not ready in time' : `exit code ${String(code)}`;
        reject(new Error(`${command.join(' ')}: ${cause}`));
      });
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

  /** Returns the processor time used so far, in milliseconds. */
  public readCpuMs(): number {
    const [user = 0, system = 0] = this.readStat().slice(11, 13).map(Number);
    return (user + system) * CPU_TICK_MS;
  }

  /** Returns the resident memory in bytes. */
  public readResidentBytes(): number {
    return Number(this.readStat()[21] ?? 0) * PAGE_BYTES;
  }

  /** Whether the process has ended. */
  public get hasEnded(): boolean {
    return this.child.exitCode !== null || this.child.signalCode !== null;
  }

  /** Fields of /proc/pid/stat from the third on; the second, the program name, may contain blanks. */
  private readStat(): readonly string[] {
    const text = readFileSync(`/proc/${this.child.pid ?? 0}/stat`, 'utf8');
    return text.slice(text.lastIndexOf(')') + 2).split(' ');
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
