import type { ExplainedDaemon } from '#admin/ExplainedDaemon.js';
import type { Page } from '#admin/Page.js';
import type { Entry } from '#catalogue/Entry.js';
import { AdminApiCommand } from '#cli/AdminApiCommand.js';
import type { AdminClient } from '#cli/AdminClient.js';
import type { CommandCall } from '#cli/CommandCall.js';
import type { ExitCode } from '#cli/ExitCode.js';
import { exitCodes } from '#cli/ExitCodes.js';
import { formatTextTable } from '#cli/FormatTextTable.js';
import { readCount } from '#cli/ReadCount.js';

interface Explanation {
  readonly catalogueVersion: number;
  readonly entry: Entry | null;
  readonly daemons: Page<ExplainedDaemon>;
}

/** Shows the entry that applies to a request and what each daemon would do with it. */
export class ExplainCommand extends AdminApiCommand {
  public override readonly usage = 'explain <team> <service> <class> [key]';
  public override readonly summary = 'Show which entry applies to a request and what each daemon would do';
  public override readonly options = [{ usage: '--deadline-ms <n>', summary: 'Deadline of the request' }];
  public override readonly examples = ['explain soko-permits badges badgeCheck KE-004711'];

  protected override async runWith(client: AdminClient, call: CommandCall): Promise<ExitCode> {
    const [team = '', service = '', className = '', key = ''] = call.args;
    const deadlineMs = readCount(call.options, 'deadlineMs', 0);
    const description = JSON.stringify({ team, service, class: className, key, deadlineMs });
    const request = { method: 'POST', body: description } as const;
    const { body } = await client.send<Explanation>('/admin/v1/explain', request);
    this.print(call, body, () => formatExplanation(body));
    return body.entry === null ? exitCodes.failed : exitCodes.done;
  }
}

function formatExplanation({ catalogueVersion, entry, daemons }: Explanation): string {
  if (entry === null) return `no entry applies in catalogue version ${catalogueVersion}`;
  const facts = Object.entries<unknown>({ ...entry, ...entry.limits }).filter(([name]) => name !== 'limits');
  const rows = daemons.items.map((each) => [
    each.serverId,
    each.decision,
    each.code,
    each.reason,
    each.to.join(' '),
  ]);
  return [
    `entry in catalogue version ${catalogueVersion}`,
    ...facts.map(([name, value]) => `  ${name}: ${JSON.stringify(value)}`),
    '',
    formatTextTable(['server', 'decision', 'code', 'reason', 'to'], rows),
  ].join('\n');
}
