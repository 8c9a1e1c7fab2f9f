import { basename } from 'node:path';
import { Command } from '#cli/Command.js';
import type { CommandCall } from '#cli/CommandCall.js';
import { CommandError } from '#cli/CommandError.js';
import type { ExitCode } from '#cli/ExitCode.js';
import { exitCodes } from '#cli/ExitCodes.js';
import type { LogEntry } from '#cli/LogEntry.js';
import { readLogEntry } from '#cli/ReadLogEntry.js';
import { readTextFile } from '#cli/ReadTextFile.js';
import { traceRequest } from '#cli/TraceRequest.js';
import { UsageError } from '#cli/UsageError.js';

const DEFAULT_AROUND_MS = 1_000;

/** Prints the log lines about one request from the logs of several daemons. */
export class TraceCommand extends Command {
  public override readonly usage = 'trace <id> [...logs]';
  public override readonly summary = 'Show the log lines about a request from the logs of several daemons';
  public override readonly options = [
    {
      usage: '--around-ms <ms>',
      summary: `Include state changes up to this long before and after (default ${DEFAULT_AROUND_MS})`,
    },
  ];
  public override readonly examples = ['trace 6ef854754f587db3 logs/nbi-east-1.log logs/nbi-cbd-1.log'];

  public override run({ args: [id = '', ...files], options, terminal }: CommandCall): Promise<ExitCode> {
    if (files.length === 0) throw new UsageError('specify at least one log');
    const aroundMs = Number(options.aroundMs ?? DEFAULT_AROUND_MS);
    if (!Number.isFinite(aroundMs) || aroundMs < 0)
      throw new UsageError('--around-ms takes a time in milliseconds');
    const trace = traceRequest(files.flatMap(readLog), id, aroundMs);
    if (trace.length === 0) {
      const fields = { code: 'requestNotFound', step: 'parse', peer: files.join(' ') } as const;
      throw new CommandError(
        exitCodes.failed,
        fields,
        `none of the ${files.length} logs has a line about the request ${id}`,
      );
    }
    terminal.print(
      options.json === true ? formatJson(trace) : trace.map((entry) => formatEntry(entry, id)).join('\n'),
    );
    return Promise.resolve(exitCodes.done);
  }
}

function readLog(file: string): readonly LogEntry[] {
  return readTextFile(file)
    .split('\n')
    .flatMap((line) => readLogEntry(file, line) ?? []);
}

/** Marks the lines about the request itself, because state changes of the daemons are listed between them. */
function formatEntry({ file, fields, text }: LogEntry, id: string): string {
  return `${fields.get('id') === id ? '*' : ' '} ${basename(file)} ${text}`;
}

function formatJson(trace: readonly LogEntry[]): string {
  const lines = trace.map(({ file, fields }) => ({ file, ...Object.fromEntries(fields) }));
  return JSON.stringify({ lines }, null, 2);
}
