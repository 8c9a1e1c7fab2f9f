import type { HeldRequest } from '#admin/HeldRequest.js';
import { AdminApiCommand } from '#cli/AdminApiCommand.js';
import type { AdminClient } from '#cli/AdminClient.js';
import type { CommandCall } from '#cli/CommandCall.js';
import type { ExitCode } from '#cli/ExitCode.js';
import { exitCodes } from '#cli/ExitCodes.js';
import { formatTextTable } from '#cli/FormatTextTable.js';
import { UsageError } from '#cli/UsageError.js';

/** Lists requests that are held because they crashed servers, and lifts holds. */
export class HeldCommand extends AdminApiCommand {
  public override readonly usage = 'held [action] [id]';
  public override readonly summary = 'List requests held after they crashed servers, or lift the hold on one';
  public override readonly examples = ['held', 'held lift 5f0c2a9b'];

  protected override async runWith(client: AdminClient, call: CommandCall): Promise<ExitCode> {
    const [action = 'list', id = ''] = call.args;
    if (action === 'list') return this.list(client, call);
    if (action !== 'lift' || id === '') throw new UsageError('use `held` or `held lift ID`');
    const path = `/admin/v1/held/${encodeURIComponent(id)}`;
    await client.send(path, { method: 'DELETE' });
    this.print(call, { id }, () => `${id} is no longer held`);
    return exitCodes.done;
  }

  private async list(client: AdminClient, call: CommandCall): Promise<ExitCode> {
    const items = await client.list<HeldRequest>('/admin/v1/held');
    const rows = items.map((each) => [
      each.id,
      each.team,
      each.service,
      each.class,
      each.servers.join(' '),
      new Date(each.sinceMs).toISOString(),
    ]);
    this.print(call, items, () =>
      formatTextTable(['id', 'team', 'service', 'class', 'servers lost', 'since'], rows),
    );
    return exitCodes.done;
  }
}
