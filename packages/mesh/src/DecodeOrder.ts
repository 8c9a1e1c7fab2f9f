import { array, Left, nullable, number, Right, string, type Either } from 'purify-ts';
import type { HeaderPair } from '#mesh/HeaderPair.js';
import type { Order } from '#mesh/Order.js';

type Fields = readonly [
  id: string,
  method: string,
  target: string,
  host: string,
  headers: readonly HeaderPair[],
  hasBody: number,
  key: number | null,
  service: string,
  callerService: string,
  idempotent: number,
  priority: number,
  targetLatencyMs: number,
  leftMs: number,
  isCall: number,
  resumes: string,
];

interface Decoder {
  readonly decode: (value: unknown) => Either<string, unknown>;
}

const DECODERS: readonly Decoder[] = [
  string,
  string,
  string,
  string,
  array(array(string)),
  number,
  nullable(number),
  string,
  string,
  number,
  number,
  number,
  number,
  number,
  string,
];

/** Decodes an order that another daemon encoded. The error says which field is wrong. */
export function decodeOrder(text: string, body: Buffer, nowMs: number): Either<string, Order> {
  return parse(text)
    .chain((fields) => check(fields))
    .map((fields) => build(fields, body, nowMs));
}

function parse(text: string): Either<string, readonly unknown[]> {
  try {
    const value: unknown = JSON.parse(text);
    return Array.isArray(value) ? Right(value) : Left('an order is not an array');
  } catch (err) {
    return Left(`an order is not JSON: ${String(err)}`);
  }
}

function check(fields: readonly unknown[]): Either<string, Fields> {
  for (const [index, decoder] of DECODERS.entries()) {
    const result = decoder.decode(fields[index]);
    if (result.isLeft()) return Left(`field ${index} of an order: ${result.extract()}`);
  }
  return Right(fields as unknown as Fields);
}

function build(fields: Fields, body: Buffer, nowMs: number): Order {
  const [id, method, target, host, headers, hasBody, key, service, callerService] = fields;
  const [, , , , , , , , , idempotent, priority, targetLatencyMs, leftMs, isCall, resumes] = fields;
  return {
    request: {
      id,
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
    dueMs: nowMs + leftMs,
    isCall: isCall === 1,
    resumes,
  };
}
