import { AdminError } from '#admin/AdminError.js';
import type { WriteConflict } from '#admin/WriteConflict.js';

/** Makes the answer to the loser of two concurrent changes: 412 with the version and the author of the winner. */
export function reportConflict({ version, author }: WriteConflict): AdminError {
  const message = `version ${version} by "${author}" was accepted first; base the change on it`;
  return new AdminError(412, 'conflict', message, { version, author });
}
