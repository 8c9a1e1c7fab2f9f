import type { SeriesSummary } from '#metrics/SeriesSummary.js';
import { AdminApiCommand } from '#cli/AdminApiCommand.js';
import type { AdminClient } from '#cli/AdminClient.js';
import type { CommandCall } from '#cli/CommandCall.js';
import type { ExitCode } from '#cli/ExitCode.js';
import { exitCodes } from '#cli/ExitCodes.js';
import { formatTextTable } from '#cli/FormatTextTable.js';

const HEADINGS = ['team', 'class', 'delivered', 'late', 'refused', 'failed', 'unknown', 'p50 ms', 'p99 ms'];

interface Stats {
  readonly series: readonly SeriesSummary[];
}

/** Shows outcomes and latency per team and class. */
export class StatsCommand extends AdminApiCommand {
  public override readonly usage = 'stats';
  public override readonly summary = 'Show outcomes and latency per team and class';
  public override readonly options = [
    { usage: '--scope <scope>', summary: 'Daemons to include: daemon (default), cells or fleet' },
  ];
  public override readonly examples = ['stats', 'stats --scope cells --json'];

  protected override async runWith(client: AdminClient, call: CommandCall): Promise<ExitCode> {
    const { scope } = call.options;
    const query = { scope: typeof scope === 'string' ? scope : '' };
    const { body } = await client.send<Stats>('/admin/v1/stats', { query });
    this.print(call, body, () => formatTextTable(HEADINGS, body.series.map(formatSeries)));
    return exitCodes.done;
  }
}

function formatSeries({ team, class: className, outcomes, phases }: SeriesSummary): readonly unknown[] {
  const { delivered = 0, late = 0, refused = 0, failed = 0, unknown = 0 } = outcomes;
  const counts = [delivered, late, refused, failed, unknown];
  return [team, className, ...counts, phases.whole?.p50Ms, phases.whole?.p99Ms];
}
