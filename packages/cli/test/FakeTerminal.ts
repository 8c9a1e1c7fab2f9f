import { Terminal } from '#cli/Terminal.js';

/** Terminal that records its output and whose clock advances at once by each wait. */
export class FakeTerminal extends Terminal {
  public output = '';
  public errors = '';
  private readonly env: Readonly<Record<string, string>>;
  private waitedMs = 0;

  public constructor(env: Readonly<Record<string, string>> = {}) {
    super();
    this.env = env;
  }

  public override print(text: string): void {
    this.output += `${text}\n`;
  }

  public override printError(text: string): void {
    this.errors += `${text}\n`;
  }

  public override readEnv(name: string): string {
    return this.env[name] ?? '';
  }

  public override wait(ms: number): Promise<void> {
    this.waitedMs += ms;
    return Promise.resolve();
  }

  public override nowMs(): number {
    return this.waitedMs;
  }
}
