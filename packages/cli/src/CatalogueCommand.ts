import { AdminApiCommand } from '#cli/AdminApiCommand.js';
import type { AdminClient } from '#cli/AdminClient.js';
import type { CatalogueAction } from '#cli/CatalogueAction.js';
import type { CommandCall } from '#cli/CommandCall.js';
import { diffCatalogue } from '#cli/DiffCatalogue.js';
import type { ExitCode } from '#cli/ExitCode.js';
import { getCatalogue } from '#cli/GetCatalogue.js';
import { listHistory } from '#cli/ListHistory.js';
import { putCatalogue } from '#cli/PutCatalogue.js';
import { restoreCatalogue } from '#cli/RestoreCatalogue.js';
import { UsageError } from '#cli/UsageError.js';

const ACTIONS: ReadonlyMap<string, CatalogueAction> = new Map([
  ['get', getCatalogue],
  ['put', putCatalogue],
  ['diff', diffCatalogue],
  ['history', listHistory],
  ['restore', restoreCatalogue],
]);

/** Reads and changes the catalogue. */
export class CatalogueCommand extends AdminApiCommand {
  public override readonly usage = 'catalogue <action> [operand]';
  public override readonly summary = 'Read or change the catalogue: get, put, diff, history, restore';
  public override readonly options = [
    { usage: '--base <version>', summary: 'Version that a change is based on (put, restore)' },
    { usage: '--in-force', summary: 'Read the version in force on the daemon instead of the store (get)' },
    { usage: '--limit <n>', summary: 'Number of versions to list (history)' },
  ];
  public override readonly examples = [
    'catalogue get catalogue.jsonc',
    'catalogue diff catalogue.jsonc',
    'catalogue put catalogue.jsonc',
    'catalogue put --base 0 catalogue.jsonc',
    'catalogue history --limit 5',
    'catalogue restore 41',
  ];

  protected override runWith(client: AdminClient, call: CommandCall): Promise<ExitCode> {
    const [name = '', operand = ''] = call.args;
    const action = ACTIONS.get(name);
    if (action === undefined)
      throw new UsageError(`the action must be one of ${[...ACTIONS.keys()].join(', ')}`);
    return action(client, call, operand);
  }
}
