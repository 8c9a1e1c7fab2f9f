import { AdminClient } from '#cli/AdminClient.js';
import { Command } from '#cli/Command.js';
import type { CommandCall } from '#cli/CommandCall.js';
import type { ExitCode } from '#cli/ExitCode.js';
import { readTextFile } from '#cli/ReadTextFile.js';
import { UsageError } from '#cli/UsageError.js';

/** Base class of commands that call the administration API. */
export abstract class AdminApiCommand extends Command {
  public override async run(call: CommandCall): Promise<ExitCode> {
    const client = connect(call);
    try {
      return await this.runWith(client, call);
    } finally {
      await client.close();
    }
  }

  /** Runs the command with a client, which is closed afterwards. */
  protected abstract runWith(client: AdminClient, call: CommandCall): Promise<ExitCode>;

  /** Prints a value as JSON with `--json`, otherwise the text that `format` returns. */
  protected print(call: CommandCall, value: unknown, format: () => string): void {
    const text = call.options.json === true ? JSON.stringify(value, null, 2) : format();
    call.terminal.print(text);
  }
}

function connect({ options, terminal }: CommandCall): AdminClient {
  const url = readString(options.admin) ?? terminal.readEnv('AMARANTHROUTER_ADMIN');
  const tokenFile = readString(options.tokenFile);
  const token = tokenFile === undefined ? terminal.readEnv('AMARANTHROUTER_TOKEN') : readTextFile(tokenFile);
  if (!/^https?:/.test(url) || !URL.canParse(url))
    throw new UsageError('specify the administration API with --admin URL or AMARANTHROUTER_ADMIN');
  if (token.trim() === '')
    throw new UsageError('specify the token with --token-file FILE or AMARANTHROUTER_TOKEN');
  const caFile = readString(options.ca);
  return new AdminClient(url, token.trim(), caFile === undefined ? undefined : readTextFile(caFile));
}

function readString(value: unknown): string | undefined {
  return typeof value === 'string' ? value : undefined;
}
