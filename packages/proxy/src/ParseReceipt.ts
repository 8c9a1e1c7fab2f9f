import { Left, Right, type Either } from 'purify-ts';
import type { RouterErrorFields } from '#core/RouterErrorFields.js';

/**
 * Parses the body of a receipt, `{"bytes": n}`, where `n` is the length of the response body that the caller received.
 */
export function parseReceipt(body: Buffer): Either<RouterErrorFields, number> {
  try {
    const value = JSON.parse(body.toString()) as { readonly bytes?: unknown };
    if (typeof value.bytes === 'number' && Number.isInteger(value.bytes) && value.bytes >= 0)
      return Right(value.bytes);
  } catch {
    // A body that is not JSON is refused in the same way as JSON without a byte count.
  }
  return Left({ code: 'badReceipt', step: 'receipt', peer: 'caller', ran: 'not run', status: 400 });
}
