import type { CatalogueAction } from '#cli/CatalogueAction.js';
import type { ChangeResult } from '#cli/ChangeResult.js';
import { exitCodes } from '#cli/ExitCodes.js';
import { formatChanges } from '#cli/FormatChanges.js';
import { readCount } from '#cli/ReadCount.js';
import { UsageError } from '#cli/UsageError.js';

/** Writes the content of an earlier version as a new version. */
export const restoreCatalogue: CatalogueAction = async (client, { options, terminal }, version) => {
  if (!/^\d+$/.test(version)) throw new UsageError('specify a version from `catalogue history`');
  const newest = await client.send('/admin/v1/catalogue');
  const ifVersion = readCount(options, 'base', newest.version);
  const path = `/admin/v1/catalogue/history/${version}/restore`;
  const { body } = await client.send<ChangeResult>(path, { method: 'POST', ifVersion });
  terminal.print(options.json === true ? JSON.stringify(body, null, 2) : formatChanges(body.changes));
  terminal.printError(`accepted as version ${body.version}`);
  return exitCodes.done;
};
