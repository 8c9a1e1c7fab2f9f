import { writeFileSync } from 'node:fs';

/** Lines that a case writes about what was sent, answered and run. */
export class CaseRecord {
  private readonly path: string;
  private readonly lines: string[] = []; // eslint-disable-line no-restricted-syntax -- grows during the run

  public constructor(path: string) {
    this.path = path;
  }

  public add(line: string): void {
    this.lines.push(line);
  }

  /** Adds a line, and prints it. */
  public report(line: string): void {
    this.add(line);
    process.stdout.write(`${line}\n`);
  }

  public save(): void {
    writeFileSync(this.path, `${this.lines.join('\n')}\n`);
  }
}
