import type { DaemonStatus } from '#admin/DaemonStatus.js';
import type { Propagation } from '#admin/Propagation.js';
import { AdminApiCommand } from '#cli/AdminApiCommand.js';
import type { AdminClient } from '#cli/AdminClient.js';
import type { CommandCall } from '#cli/CommandCall.js';
import type { ExitCode } from '#cli/ExitCode.js';
import { exitCodes } from '#cli/ExitCodes.js';
import { formatTextTable } from '#cli/FormatTextTable.js';

const MAX_ROWS = '20';

/** Shows the state of a daemon, and which daemons lack the newest versions. */
export class StatusCommand extends AdminApiCommand {
  public override readonly usage = 'status';
  public override readonly summary = 'Show a daemon, its view of the store, and versions in force on others';
  public override readonly examples = ['status', 'status --json'];

  protected override async runWith(client: AdminClient, call: CommandCall): Promise<ExitCode> {
    const { body: status } = await client.send<DaemonStatus>('/admin/v1/status');
    const query = { limit: MAX_ROWS };
    const { body: propagation } = await client.send<Propagation>('/admin/v1/propagation', { query });
    this.print(call, { status, propagation }, () => formatStatus(status, propagation));
    return exitCodes.done;
  }
}

function formatStatus(status: DaemonStatus, propagation: Propagation): string {
  const { backend, store } = status;
  const facts = [
    ['server', `${status.serverId} (${status.service}, ${status.failureDomain}, ${status.vm})`],
    ['lease', `epoch ${status.epoch}, ${Math.round(status.leaseLeftMs)} ms left`],
    ['shards', `${status.ownedShards}${status.draining ? ', draining' : ''}`],
    [
      'backend',
      `${backend.state}, ${backend.inFlight} of ${backend.slotLimit} slots (${backend.slots} in all)`,
    ],
    ['store', `${store.reachable ? 'reachable' : 'UNREACHABLE'}, ${Math.round(store.lastSuccessMs)} ms ago`],
    ['versions', `catalogue ${status.catalogueVersion}, intent ${status.intentVersion}`],
    ['fleet', `${propagation.current} of ${propagation.daemons} daemons have the newest versions`],
  ];
  const behind = propagation.rows.items.filter(
    (row) =>
      row.catalogueVersion < propagation.catalogueVersion || row.intentVersion < propagation.intentVersion,
  );
  const rows = behind.map((row) => [row.serverId, row.region, row.catalogueVersion, row.intentVersion]);
  const table = formatTextTable(['behind', 'region', 'catalogue', 'intent'], rows);
  const lines = facts.map(([name = '', text = '']) => `${name.padEnd(10)}${text}`);
  return behind.length === 0 ? lines.join('\n') : [...lines, '', table].join('\n');
}
