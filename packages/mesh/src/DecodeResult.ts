import { array, Left, number, Right, string, type Either } from 'purify-ts';
import { decodeTuple } from '#mesh/DecodeTuple.js';
import type { HeaderPair } from '#mesh/HeaderPair.js';
import type { LoadReport } from '#mesh/LoadReport.js';
import type { LossCode } from '#mesh/LossCode.js';
import type { OrderResult } from '#mesh/OrderResult.js';
import type { RefusalCode } from '#mesh/RefusalCode.js';
import type { RelayHead } from '#mesh/RelayHead.js';

type Load = readonly number[];

/** Decodes the result of an order that another daemon encoded. */
export function decodeResult(
  { kind, detail }: Pick<RelayHead, 'kind' | 'detail'>,
  body: Buffer,
): Either<string, OrderResult> {
  return decodeTuple<readonly [type: string]>(kind, [string]).chain(([type]) => {
    switch (type) {
      case 'answered':
        return decodeAnswer(kind, detail, body);
      case 'refused':
        return decodeRefusal(kind, detail);
      case 'lost':
        return decodeLoss(kind, detail);
      default:
        return Left(`a result has the unknown type ${type}`);
    }
  });
}

function decodeAnswer(kind: string, detail: string, body: Buffer): Either<string, OrderResult> {
  type Kind = readonly [type: string, status: number, names: readonly string[]];
  type Detail = readonly [load: Load, values: readonly string[]];
  return decodeTuple<Kind>(kind, [string, number, array(string)]).chain(([, status, names]) =>
    decodeTuple<Detail>(detail, [array(number), array(string)]).chain(([load, values]) => {
      if (names.length !== values.length) return Left('names and values of headers differ in number');
      const headers = names.map((name, index): HeaderPair => [name, values[index] ?? '']);
      return Right({ type: 'answered', answer: { status, headers, body }, load: decodeLoad(load) });
    }),
  );
}

function decodeRefusal(kind: string, detail: string): Either<string, OrderResult> {
  type Kind = readonly [type: string, code: RefusalCode, arrived: number];
  type Detail = readonly [load: Load, retryAfterMs: number];
  return decodeTuple<Kind>(kind, [string, string, number]).chain(([, code, arrived]) =>
    decodeTuple<Detail>(detail, [array(number), number]).map(([load, retryAfterMs]) => ({
      type: 'refused',
      code,
      retryAfterMs,
      arrived: arrived === 1,
      load: decodeLoad(load),
    })),
  );
}

function decodeLoss(kind: string, detail: string): Either<string, OrderResult> {
  return decodeTuple<readonly [type: string, code: LossCode]>(kind, [string, string]).chain(([, code]) =>
    decodeTuple<readonly [load: Load]>(detail, [array(number)]).map(([load]) => ({
      type: 'lost',
      code,
      load: decodeLoad(load),
    })),
  );
}

function decodeLoad(load: Load): LoadReport | undefined {
  const [running, queued, slots, waitMs, serviceMs, slowdown] = load;
  if (running === undefined || queued === undefined || slots === undefined) return undefined;
  return { running, queued, slots, waitMs: waitMs ?? 0, serviceMs: serviceMs ?? 0, slowdown: slowdown ?? 1 };
}
