import { Left, Right, type Either } from 'purify-ts';
import { createIntegerCodec } from '#codec/CreateIntegerCodec.js';
import { createListCodec } from '#codec/CreateListCodec.js';
import { durationCodec } from '#codec/DurationCodec.js';
import { idCodec } from '#codec/IdCodec.js';
import { measureCodec } from '#codec/MeasureCodec.js';
import { decodeTuple } from '#mesh/DecodeTuple.js';
import type { HeaderPair } from '#mesh/HeaderPair.js';
import { headerTextCodec } from '#mesh/HeaderTextCodec.js';
import type { LoadReport } from '#balance/LoadReport.js';
import type { LossCode } from '#mesh/LossCode.js';
import { maxHeaders } from '#mesh/MaxHeaders.js';
import type { BackendResult } from '#mesh/BackendResult.js';
import type { RefusalCode } from '#mesh/RefusalCode.js';
import type { RelayHead } from '#mesh/RelayHead.js';

const MAX_LOAD_FIGURES = 16;

const headersCodec = createListCodec(headerTextCodec, maxHeaders);
const loadCodec = createListCodec(measureCodec, MAX_LOAD_FIGURES);
const statusCodec = createIntegerCodec(100, 999);
const bitCodec = createIntegerCodec(0, 1);

type Load = readonly number[];

/** Decodes a request's result from another daemon. The error names the faulty item. */
export function decodeBackendResult(
  { kind, detail }: Pick<RelayHead, 'kind' | 'detail'>,
  body: Buffer,
): Either<string, BackendResult> {
  return decodeTuple<readonly [type: string]>(kind, [idCodec]).chain(([type]) => {
    switch (type) {
      case 'answered':
        return decodeResponse(kind, detail, body);
      case 'refused':
        return decodeRefusal(kind, detail);
      case 'lost':
        return decodeLoss(kind, detail);
      default:
        return Left(`unknown result type ${type}`);
    }
  });
}

function decodeResponse(kind: string, detail: string, body: Buffer): Either<string, BackendResult> {
  type Kind = readonly [type: string, status: number, names: readonly string[]];
  type Detail = readonly [load: Load, values: readonly string[]];
  return decodeTuple<Kind>(kind, [idCodec, statusCodec, headersCodec]).chain(([, status, names]) =>
    decodeTuple<Detail>(detail, [loadCodec, headersCodec]).chain(([load, values]) => {
      if (names.length !== values.length) return Left('numbers of header names and values differ');
      const headers = names.map((name, index): HeaderPair => [name, values[index] ?? '']);
      return Right({ type: 'answered', response: { status, headers, body }, load: decodeLoad(load) });
    }),
  );
}

function decodeRefusal(kind: string, detail: string): Either<string, BackendResult> {
  type Kind = readonly [type: string, code: RefusalCode, arrived: number];
  type Detail = readonly [load: Load, retryAfterMs: number];
  return decodeTuple<Kind>(kind, [idCodec, idCodec, bitCodec]).chain(([, code, arrived]) =>
    decodeTuple<Detail>(detail, [loadCodec, durationCodec]).map(([load, retryAfterMs]) => ({
      type: 'refused',
      code,
      retryAfterMs,
      arrived: arrived === 1,
      load: decodeLoad(load),
    })),
  );
}

function decodeLoss(kind: string, detail: string): Either<string, BackendResult> {
  return decodeTuple<readonly [type: string, code: LossCode]>(kind, [idCodec, idCodec]).chain(([, code]) =>
    decodeTuple<readonly [load: Load]>(detail, [loadCodec]).map(([load]) => ({
      type: 'lost',
      code,
      load: decodeLoad(load),
    })),
  );
}

function decodeLoad(load: Load): LoadReport | undefined {
  const [running, queued, slots, waitMs, serviceMs, slowdown, leastUrgent] = load;
  if (running === undefined || queued === undefined || slots === undefined) return undefined;
  return {
    running,
    queued,
    slots,
    waitMs: waitMs ?? 0,
    serviceMs: serviceMs ?? 0,
    slowdown: slowdown ?? 1,
    ...(leastUrgent === undefined ? {} : { leastUrgent }),
  };
}
