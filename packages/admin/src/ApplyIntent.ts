import { type EitherAsync, Left, type Either } from 'purify-ts';
import type { RouterError } from '#core/RouterError.js';
import type { Intent } from '#control/Intent.js';
import type { AdminBackend } from '#admin/AdminBackend.js';
import type { AdminCall } from '#admin/AdminCall.js';
import type { AdminChange } from '#admin/AdminChange.js';
import type { AdminError } from '#admin/AdminError.js';
import type { AdminReply } from '#admin/AdminReply.js';
import { handleAsync } from '#admin/HandleAsync.js';
import { readExpectedVersion } from '#admin/ReadExpectedVersion.js';
import { reportConflict } from '#admin/ReportConflict.js';

/** Changes the operator intent if its newest version is the one in `If-Match`. */
export function applyIntent(
  backend: AdminBackend,
  call: AdminCall,
  change: AdminChange,
  update: (intent: Intent) => Either<AdminError, Intent>,
): EitherAsync<RouterError, AdminReply> {
  return handleAsync(async (unwrap) => {
    const expectedVersion = await unwrap(readExpectedVersion(call.ifMatch));
    const newest = await backend.readIntent();
    if (newest.version !== expectedVersion) return unwrap(Left(reportConflict(newest)));
    const intent = await unwrap(update(newest.intent));
    const author = call.author.name;
    const result = await backend.writeIntent({ expectedVersion, author, intent });
    const written = await unwrap(result.mapLeft(reportConflict));
    return {
      status: 200,
      body: written,
      version: written.version,
      change: { ...change, fields: { ...change.fields, version: written.version } },
    };
  });
}
