import { RouterError } from '#core/RouterError.js';

/** Throws a `RouterError` with step `invariant` if `condition` is false. */
export function assertInvariant(condition: boolean, message: string): asserts condition {
  if (condition) return;
  throw new RouterError(
    { code: 'invariant', step: 'invariant', peer: '', ran: 'unknown', status: 500 },
    message,
  );
}
