import { type EitherAsync, Left, Right, type Either } from 'purify-ts';
import type { RouterError } from '#core/RouterError.js';
import type { Catalogue } from '#catalogue/Catalogue.js';
import type { AdminBackend } from '#admin/AdminBackend.js';
import type { AdminCall } from '#admin/AdminCall.js';
import { AdminError } from '#admin/AdminError.js';
import type { AdminReply } from '#admin/AdminReply.js';
import { handleAsync } from '#admin/HandleAsync.js';
import { planCatalogueChange } from '#admin/PlanCatalogueChange.js';
import { readExpectedVersion } from '#admin/ReadExpectedVersion.js';
import { reportConflict } from '#admin/ReportConflict.js';

/** Builds the text of the new catalogue from the newest one. */
type BuildText = (before: Catalogue | undefined) => Either<AdminError, string>;

/**
 * Checks a new catalogue and writes it if the newest version is the one in `If-Match`. With `dryRun=true`, only checks
 * it and needs no `If-Match`.
 */
export function applyCatalogue(
  backend: AdminBackend,
  call: AdminCall,
  buildText: BuildText,
): EitherAsync<RouterError, AdminReply> {
  return handleAsync(async (unwrap) => {
    const dryRun = await unwrap(readDryRun(call.query));
    const expectedVersion = dryRun ? 0 : await unwrap(readExpectedVersion(call.ifMatch));
    const newest = await backend.readCatalogue();
    const version = newest?.version ?? 0;
    if (!dryRun && version !== expectedVersion)
      return unwrap(Left(reportConflict({ version, author: newest?.author ?? '' })));
    const text = await unwrap(buildText(newest?.catalogue));
    const { catalogue, changes } = await unwrap(planCatalogueChange(newest?.catalogue, text, call.author));
    if (dryRun) return { status: 200, body: { version, changes }, version };
    const author = call.author.name;
    const result = await backend.writeCatalogue({ expectedVersion, author, catalogue });
    const written = await unwrap(result.mapLeft(reportConflict));
    return {
      status: 200,
      body: { version: written.version, author, changes },
      version: written.version,
      change: {
        event: 'catalogueChanged',
        fields: { version: written.version, changes: changes.length },
      },
    };
  });
}

function readDryRun(query: AdminCall['query']): Either<AdminError, boolean> {
  const { dryRun = 'false' } = query;
  if (dryRun === 'true' || dryRun === 'false') return Right(dryRun === 'true');
  return Left(new AdminError(400, 'badDryRun', '"dryRun" must be true or false'));
}
