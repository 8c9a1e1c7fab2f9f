import { AdminError } from '#admin/AdminError.js';
import type { WriteConflict } from '#admin/WriteConflict.js';

/** Creates the error for a change that lost against a concurrent one: 412 with the winner's version and author. */
export function reportConflict({ version, author }: WriteConflict): AdminError {
  const message = `version ${version} by "${author}" was accepted first; base the change on it`;
  return new AdminError(412, 'conflict', message, { version, author });
}
