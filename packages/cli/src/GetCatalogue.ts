import { writeFileSync } from 'node:fs';
import type { VersionedCatalogue } from '#catalogue/VersionedCatalogue.js';
import { baseVersionComment } from '#cli/BaseVersionComment.js';
import type { CatalogueAction } from '#cli/CatalogueAction.js';
import { exitCodes } from '#cli/ExitCodes.js';

/** Prints the catalogue, or writes it to a file, with a comment that names its version. */
export const getCatalogue: CatalogueAction = async (client, { options, terminal }, file) => {
  const query = { inForce: options.inForce === true ? 'true' : '' };
  const { body } = await client.send<VersionedCatalogue>('/admin/v1/catalogue', { query });
  const { version, author, catalogue } = body;
  const text = baseVersionComment.format(version, author) + JSON.stringify(catalogue, null, 2);
  if (file === '') terminal.print(options.json === true ? JSON.stringify(body, null, 2) : text);
  else writeFileSync(file, `${text}\n`);
  if (file !== '') terminal.printError(`version ${version} by ${author} written to ${file}`);
  return exitCodes.done;
};
