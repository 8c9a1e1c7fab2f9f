import { encodeAscii } from '#mesh/EncodeAscii.js';
import type { OrderResult } from '#mesh/OrderResult.js';

/** Encodes an order's result as JSON of printable ASCII. The body of an answer travels beside it. */
export function encodeResult(result: OrderResult): string {
  const { load } = result;
  const rounded = load && {
    ...load,
    waitMs: Math.round(load.waitMs),
    serviceMs: Math.round(load.serviceMs),
  };
  const value =
    result.type === 'answered'
      ? { type: result.type, status: result.answer.status, headers: result.answer.headers, load: rounded }
      : { ...result, load: rounded };
  return encodeAscii(value);
}
