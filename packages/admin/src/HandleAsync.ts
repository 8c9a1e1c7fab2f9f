import { EitherAsync, type Either } from 'purify-ts';
import type { RouterError } from '#core/RouterError.js';
import type { AdminReply } from '#admin/AdminReply.js';

/** Returns the value of a `Right`, or aborts the handler with the error of a `Left`. */
type Unwrap = <T>(either: Either<RouterError, T>) => PromiseLike<T>;

/** Runs a handler; an unwrapped `Left` or a rejected promise becomes the `Left` of the result. */
export function handleAsync(
  run: (unwrap: Unwrap) => Promise<AdminReply>,
): EitherAsync<RouterError, AdminReply> {
  return EitherAsync((helpers) => run((either) => helpers.liftEither(either)));
}
