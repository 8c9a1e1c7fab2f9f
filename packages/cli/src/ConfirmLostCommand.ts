import { AdminApiCommand } from '#cli/AdminApiCommand.js';
import type { AdminClient } from '#cli/AdminClient.js';
import { changeIntent } from '#cli/ChangeIntent.js';
import type { CommandCall } from '#cli/CommandCall.js';
import type { ExitCode } from '#cli/ExitCode.js';
import { exitCodes } from '#cli/ExitCodes.js';
import { UsageError } from '#cli/UsageError.js';

/** States that the VM of a server is destroyed. */
export class ConfirmLostCommand extends AdminApiCommand {
  public override readonly usage = 'confirm-lost <serverId>';
  public override readonly summary = 'State that the VM of a server is destroyed and never returns';
  public override readonly options = [
    { usage: '--destroyed', summary: 'Confirms that the VM does not run and cannot start again' },
  ];
  public override readonly examples = ['confirm-lost badges-nairobi-a --destroyed'];

  protected override async runWith(client: AdminClient, call: CommandCall): Promise<ExitCode> {
    const [serverId = ''] = call.args;
    if (call.options.destroyed !== true)
      throw new UsageError(
        `a VM that still runs could own keys together with its successor; add --destroyed if ${serverId} is gone`,
      );
    const path = `/admin/v1/confirmed-lost/${encodeURIComponent(serverId)}`;
    const { version } = await changeIntent(client, 'PUT', path);
    this.print(call, { version }, () => `${serverId} is recorded as lost`);
    return exitCodes.done;
  }
}
