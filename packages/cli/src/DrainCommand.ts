import { AdminApiCommand } from '#cli/AdminApiCommand.js';
import type { AdminClient } from '#cli/AdminClient.js';
import { changeIntent } from '#cli/ChangeIntent.js';
import type { CommandCall } from '#cli/CommandCall.js';
import type { ExitCode } from '#cli/ExitCode.js';
import { exitCodes } from '#cli/ExitCodes.js';
import { readCount } from '#cli/ReadCount.js';
import { readKind } from '#cli/ReadKind.js';
import { waitForDrain } from '#cli/WaitForDrain.js';

const DEFAULT_TIMEOUT_S = 300;
const MS_PER_SECOND = 1_000;

/** Withdraws a failure domain, VM or server from service and waits until it is drained. */
export class DrainCommand extends AdminApiCommand {
  public override readonly usage = 'drain <kind> <name>';
  public override readonly summary =
    'Withdraw a failure-domain, vm or server from service and wait until it is drained';
  public override readonly options = [
    { usage: '--no-wait', summary: 'Return when the withdrawal is recorded' },
    { usage: '--timeout <seconds>', summary: `Longest time to wait; default ${DEFAULT_TIMEOUT_S}` },
  ];
  public override readonly examples = ['drain failure-domain nairobi-a', 'drain vm vm-17 --no-wait'];

  protected override async runWith(client: AdminClient, call: CommandCall): Promise<ExitCode> {
    const [kind = '', name = ''] = call.args;
    const path = `/admin/v1/withdrawals/${readKind(kind)}/${encodeURIComponent(name)}`;
    const timeoutMs = readCount(call.options, 'timeout', DEFAULT_TIMEOUT_S) * MS_PER_SECOND;
    const { version } = await changeIntent(client, 'PUT', path);
    call.terminal.printError(`recorded as version ${version} of the operator intent`);
    if (call.options.wait === false) {
      this.print(call, { version, done: false }, () => `${kind} ${name} is draining`);
      return exitCodes.done;
    }
    const progress = await waitForDrain(client, call.terminal, path, timeoutMs);
    this.print(
      call,
      { version, ...progress },
      () => `${kind} ${name} is drained and out of service; it can be stopped`,
    );
    return exitCodes.done;
  }
}
