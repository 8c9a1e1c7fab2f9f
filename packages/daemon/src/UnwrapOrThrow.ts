import type { Either } from 'purify-ts';
import type { RouterError } from '#core/RouterError.js';

/** Returns the value of a result or throws its error; the administration API reports errors as rejections. */
export function unwrapOrThrow<T>(result: Either<RouterError, T>): T {
  return result.caseOf({
    Left: (err) => {
      throw err;
    },
    Right: (value) => value,
  });
}
