import type { CatalogueAction } from '#cli/CatalogueAction.js';
import type { ChangeResult } from '#cli/ChangeResult.js';
import { exitCodes } from '#cli/ExitCodes.js';
import { formatChanges } from '#cli/FormatChanges.js';
import { readTextFile } from '#cli/ReadTextFile.js';
import { UsageError } from '#cli/UsageError.js';

/** Shows what a file would change in the catalogue, without a change. */
export const diffCatalogue: CatalogueAction = async (client, { options, terminal }, file) => {
  if (file === '') throw new UsageError('specify a file');
  const query = { dryRun: 'true' };
  const request = { method: 'POST', query, body: readTextFile(file) } as const;
  const { body } = await client.send<ChangeResult>('/admin/v1/catalogue', request);
  terminal.print(options.json === true ? JSON.stringify(body, null, 2) : formatChanges(body.changes));
  return exitCodes.done;
};
