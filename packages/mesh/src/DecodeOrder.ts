import { array, Codec, Left, nullable, number, oneOf, Right, string, type Either } from 'purify-ts';
import { decodeTuple } from '#mesh/DecodeTuple.js';
import type { HeaderPair } from '#mesh/HeaderPair.js';
import type { Order } from '#mesh/Order.js';
import type { RelayHead } from '#mesh/RelayHead.js';

type Kind = readonly [
  method: string,
  host: string,
  names: readonly string[],
  idIndex: number,
  hasBody: number,
  service: string,
  callerService: string,
  idempotent: number,
  priority: number,
  targetLatencyMs: number,
];

const kindDecoders = [
  string,
  string,
  array(string),
  number,
  number,
  string,
  string,
  number,
  number,
  number,
] as const;

type Detail = readonly [
  target: string,
  key: number | null,
  leftMs: number,
  /** Time left until the answer is late; negative if it is. */
  targetLeftMs: number,
  resumes: string,
  /** 0 stands for the host. */
  values: readonly (string | number)[],
];

const value: Codec<string | number> = oneOf([string, number]);
const detailDecoders = [string, nullable(number), number, number, string, array(value)] as const;

/** Decodes an order that another daemon encoded. The error says which field is wrong. */
export function decodeOrder(
  head: Pick<RelayHead, 'kind' | 'detail'>,
  body: Buffer,
  nowMs: number,
): Either<string, Order> {
  return decodeTuple<Kind>(head.kind, kindDecoders).chain((kind) =>
    decodeTuple<Detail>(head.detail, detailDecoders).chain((detail) => build(kind, detail, body, nowMs)),
  );
}

function build(kind: Kind, detail: Detail, body: Buffer, nowMs: number): Either<string, Order> {
  const [method, host, names, idIndex, hasBody, service, callerService] = kind;
  const [, , , , , , , idempotent, priority, targetLatencyMs] = kind;
  const [target, key, leftMs, targetLeftMs, resumes, values] = detail;
  if (names.length !== values.length) return Left('names and values of headers differ in number');
  const headers = names.map((name, index): HeaderPair => [name, textOf(values[index], host)]);
  return Right({
    request: {
      id: headers[idIndex]?.[1] ?? '',
      method,
      target,
      host,
      headers,
      body,
      hasBody: hasBody === 1,
      deadlineMs: leftMs,
      key: key ?? undefined,
      arrivedMs: nowMs,
    },
    service,
    callerService,
    idempotent: idempotent === 1,
    priority,
    targetLatencyMs,
    targetMs: nowMs + targetLeftMs,
    dueMs: nowMs + leftMs,
    resumes,
  });
}

function textOf(text: string | number | undefined, host: string): string {
  return typeof text === 'string' ? text : host;
}
