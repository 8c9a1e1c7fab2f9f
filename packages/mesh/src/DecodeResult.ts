import { array, boolean, Codec, Left, number, optional, Right, string, type Either } from 'purify-ts';
import type { HeaderPair } from '#mesh/HeaderPair.js';
import type { LossCode } from '#mesh/LossCode.js';
import type { OrderResult } from '#mesh/OrderResult.js';
import type { RefusalCode } from '#mesh/RefusalCode.js';

const load = optional(
  Codec.interface({
    running: number,
    queued: number,
    slots: number,
    waitMs: number,
    serviceMs: number,
    slowdown: number,
  }),
);

const answered = Codec.interface({ status: number, headers: array(array(string)), load });

const refused = Codec.interface({ code: string, retryAfterMs: number, arrived: boolean, load });

const lost = Codec.interface({ code: string, load });

/** Decodes the result of an order that another daemon encoded. */
export function decodeResult(text: string, body: Buffer): Either<string, OrderResult> {
  return parse(text).chain((value) => decodeValue(value, body));
}

function parse(text: string): Either<string, { readonly type?: unknown }> {
  try {
    const value: unknown = JSON.parse(text);
    return typeof value === 'object' && value !== null ? Right(value) : Left('a result is not an object');
  } catch (err) {
    return Left(`a result is not JSON: ${String(err)}`);
  }
}

function decodeValue(value: { readonly type?: unknown }, body: Buffer): Either<string, OrderResult> {
  switch (value.type) {
    case 'answered':
      return answered.decode(value).map((each) => ({
        type: 'answered',
        answer: {
          status: each.status,
          headers: each.headers as unknown as readonly HeaderPair[],
          body,
        },
        load: each.load,
      }));
    case 'refused':
      return refused
        .decode(value)
        .map((each) => ({ type: 'refused', ...each, code: each.code as RefusalCode, load: each.load }));
    case 'lost':
      return lost
        .decode(value)
        .map((each) => ({ type: 'lost', code: each.code as LossCode, load: each.load }));
    default:
      return Left('a result has an unknown type');
  }
}
