import { AdminApiCommand } from '#cli/AdminApiCommand.js';
import type { AdminClient } from '#cli/AdminClient.js';
import { changeIntent } from '#cli/ChangeIntent.js';
import type { CommandCall } from '#cli/CommandCall.js';
import type { ExitCode } from '#cli/ExitCode.js';
import { exitCodes } from '#cli/ExitCodes.js';
import { UsageError } from '#cli/UsageError.js';

/** Confirms that the VM of a server is destroyed, so that its shards can be reassigned without its witnesses. */
export class ConfirmLostCommand extends AdminApiCommand {
  public override readonly usage = 'confirm-lost <serverId>';
  public override readonly summary = 'Confirm that the VM of a server is destroyed and will never return';
  public override readonly options = [
    { usage: '--destroyed', summary: 'The VM does not run and cannot start again' },
  ];
  public override readonly examples = ['confirm-lost badges-nairobi-a --destroyed'];

  protected override async runWith(client: AdminClient, call: CommandCall): Promise<ExitCode> {
    const [serverId = ''] = call.args;
    if (call.options.destroyed !== true)
      throw new UsageError(
        `a VM that still runs could own the same keys as its successor; add --destroyed if the VM of ${serverId} is destroyed`,
      );
    const path = `/admin/v1/confirmed-lost/${encodeURIComponent(serverId)}`;
    const { version } = await changeIntent(client, 'PUT', path);
    this.print(call, { version }, () => `${serverId} is confirmed as lost`);
    return exitCodes.done;
  }
}
