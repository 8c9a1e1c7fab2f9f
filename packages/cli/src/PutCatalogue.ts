import { formatFault } from '#catalogue/FormatFault.js';
import { parseCatalogue } from '#catalogue/ParseCatalogue.js';
import { baseVersionComment } from '#cli/BaseVersionComment.js';
import type { CatalogueAction } from '#cli/CatalogueAction.js';
import type { ChangeResult } from '#cli/ChangeResult.js';
import type { CommandCall } from '#cli/CommandCall.js';
import { CommandError } from '#cli/CommandError.js';
import { exitCodes } from '#cli/ExitCodes.js';
import { formatChanges } from '#cli/FormatChanges.js';
import { readCount } from '#cli/ReadCount.js';
import { readTextFile } from '#cli/ReadTextFile.js';
import { UsageError } from '#cli/UsageError.js';

/** Replaces the catalogue with a file, unless it has changed since the version that the file is based on. */
export const putCatalogue: CatalogueAction = async (client, call, file) => {
  if (file === '') throw new UsageError('specify a file');
  const text = readTextFile(file);
  const faults = parseCatalogue(text, file).swap().orDefault([]);
  if (faults.length > 0) {
    const fields = { code: 'faults', step: 'catalogue', peer: file } as const;
    throw new CommandError(exitCodes.faults, fields, `${file} has faults`, faults.map(formatFault));
  }
  const ifVersion = findBaseVersion(call, text);
  const path = '/admin/v1/catalogue';
  const { body } = await client.send<ChangeResult>(path, { method: 'PUT', ifVersion, body: text });
  const isJson = call.options.json === true;
  call.terminal.print(isJson ? JSON.stringify(body, null, 2) : formatChanges(body.changes));
  call.terminal.printError(`accepted as version ${body.version}`);
  return exitCodes.done;
};

function findBaseVersion({ options }: CommandCall, text: string): number {
  if (options.base !== undefined) return readCount(options, 'base', 0);
  const version = baseVersionComment.read(text);
  if (version !== undefined) return version;
  throw new UsageError(
    'specify the version that the change is based on with --base N; 0 for the first catalogue',
  );
}
