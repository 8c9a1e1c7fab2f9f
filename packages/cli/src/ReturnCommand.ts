import { AdminApiCommand } from '#cli/AdminApiCommand.js';
import type { AdminClient } from '#cli/AdminClient.js';
import { changeIntent } from '#cli/ChangeIntent.js';
import type { CommandCall } from '#cli/CommandCall.js';
import type { ExitCode } from '#cli/ExitCode.js';
import { exitCodes } from '#cli/ExitCodes.js';
import { readKind } from '#cli/ReadKind.js';

/** Returns a failure domain, VM or server to service. */
export class ReturnCommand extends AdminApiCommand {
  public override readonly usage = 'return <kind> <name>';
  public override readonly summary = 'Return a drained failure-domain, vm or server to service';
  public override readonly examples = ['return failure-domain nairobi-a'];

  protected override async runWith(client: AdminClient, call: CommandCall): Promise<ExitCode> {
    const [kind = '', name = ''] = call.args;
    const path = `/admin/v1/withdrawals/${readKind(kind)}/${encodeURIComponent(name)}`;
    const { version } = await changeIntent(client, 'DELETE', path);
    this.print(
      call,
      { version },
      () => `${kind} ${name} is back in service; its load increases gradually (slow start)`,
    );
    return exitCodes.done;
  }
}
