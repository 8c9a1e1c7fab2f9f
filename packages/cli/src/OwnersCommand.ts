import type { KeyOwner } from '#admin/KeyOwner.js';
import { AdminApiCommand } from '#cli/AdminApiCommand.js';
import type { AdminClient } from '#cli/AdminClient.js';
import type { CommandCall } from '#cli/CommandCall.js';
import type { ExitCode } from '#cli/ExitCode.js';
import { exitCodes } from '#cli/ExitCodes.js';
import { formatTextTable } from '#cli/FormatTextTable.js';

/** Shows which server owns a key in each placement. */
export class OwnersCommand extends AdminApiCommand {
  public override readonly usage = 'owners <service> <key>';
  public override readonly summary = 'Show the owner of a key in each placement, and the reason';
  public override readonly options = [
    { usage: '--regions <a,b>', summary: 'Home regions of one placement; all placements in use if omitted' },
  ];
  public override readonly examples = ['owners badges KE-004711', 'owners badges KE-004711 --regions kisumu'];

  protected override async runWith(client: AdminClient, call: CommandCall): Promise<ExitCode> {
    const [service = '', key = ''] = call.args;
    const { regions } = call.options;
    const query = { service, key, regions: typeof regions === 'string' ? regions : '' };
    const { body } = await client.send<{ readonly items: readonly KeyOwner[] }>('/admin/v1/owners', {
      query,
    });
    const rows = body.items.map((each) => [
      each.placement,
      each.shardId,
      each.serverId,
      each.address,
      each.token,
      each.reason,
    ]);
    this.print(call, body.items, () =>
      formatTextTable(['placement', 'shard', 'server', 'address', 'token', 'reason'], rows),
    );
    return exitCodes.done;
  }
}
