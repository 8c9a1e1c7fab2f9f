import { EitherAsync, type Either } from 'purify-ts';
import type { RouterError } from '#core/RouterError.js';
import type { AdminReply } from '#admin/AdminReply.js';

/** Returns the value of a right, and ends the handling with the error of a left. */
type Use = <T>(either: Either<RouterError, T>) => PromiseLike<T>;

/** Runs the handling of a call; a rejected promise within it becomes the left of the result. */
export function handleAsync(run: (use: Use) => Promise<AdminReply>): EitherAsync<RouterError, AdminReply> {
  return EitherAsync((helpers) => run((either) => helpers.liftEither(either)));
}
