import { Left, Right, type Either } from 'purify-ts';
import { countCodec } from '#codec/CountCodec.js';
import { createIntegerCodec } from '#codec/CreateIntegerCodec.js';
import { createListCodec } from '#codec/CreateListCodec.js';
import { createNullableCodec } from '#codec/CreateNullableCodec.js';
import { createOptionalCodec } from '#codec/CreateOptionalCodec.js';
import { durationCodec } from '#codec/DurationCodec.js';
import { idCodec } from '#codec/IdCodec.js';
import { labelCodec } from '#codec/LabelCodec.js';
import { timeLeftCodec } from '#codec/TimeLeftCodec.js';
import { keyCodec } from '#ranges/KeyCodec.js';
import { decodeTuple } from '#mesh/DecodeTuple.js';
import { headerTextCodec } from '#mesh/HeaderTextCodec.js';
import { headerValueCodec } from '#mesh/HeaderValueCodec.js';
import type { HeaderPair } from '#mesh/HeaderPair.js';
import { maxHeaders } from '#mesh/MaxHeaders.js';
import type { BackendRequest } from '#mesh/BackendRequest.js';
import type { ClockReading } from '#mesh/ClockReading.js';
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
  /** Absent in requests of older daemons. */
  isCall?: number,
];

const bitCodec = createIntegerCodec(0, 1);

const kindDecoders = [
  idCodec,
  headerTextCodec,
  createListCodec(headerTextCodec, maxHeaders),
  createIntegerCodec(-1, maxHeaders),
  bitCodec,
  idCodec,
  headerTextCodec,
  bitCodec,
  countCodec,
  durationCodec,
  createOptionalCodec(bitCodec),
] as const;

type Detail = readonly [
  target: string,
  key: number | null,
  leftMs: number,
  /** Time left until the response misses the target latency; negative if it already does. */
  targetLeftMs: number,
  resumes: string,
  /** Header values; 0 stands for the host. */
  values: readonly (string | number)[],
  /** Absent in requests of older daemons. */
  copy?: number,
  /** Monotonic and wall clock of the sender when it sent the request; absent in requests of older daemons. */
  sentAt?: readonly number[],
];

const detailDecoders = [
  headerTextCodec,
  createNullableCodec(keyCodec),
  timeLeftCodec,
  timeLeftCodec,
  labelCodec,
  createListCodec(headerValueCodec, maxHeaders),
  createOptionalCodec(countCodec),
  createOptionalCodec(createListCodec(createIntegerCodec(0, Number.MAX_SAFE_INTEGER), 2)),
] as const;

/**
 * Decodes a request from another daemon. `measureTransitMs` returns how long it was under way, from the clocks of its
 * sender. The error names the faulty item.
 */
export function decodeBackendRequest(
  head: Pick<RelayHead, 'kind' | 'detail'>,
  body: Buffer,
  nowMs: number,
  measureTransitMs: (sent: ClockReading) => number,
): Either<string, BackendRequest> {
  return decodeTuple<Kind>(head.kind, kindDecoders).chain((kind) =>
    decodeTuple<Detail>(head.detail, detailDecoders).chain((detail) => {
      const [, , , , , , , [monotonicMs, wallMs] = []] = detail;
      const isTimed = monotonicMs !== undefined && wallMs !== undefined;
      const transitMs = isTimed ? measureTransitMs({ monotonicMs, wallMs }) : 0;
      return build(kind, detail, body, nowMs - transitMs);
    }),
  );
}

/** `sentMs` is the monotonic time of this process at which the request was sent. */
function build(kind: Kind, detail: Detail, body: Buffer, sentMs: number): Either<string, BackendRequest> {
  const [method, host, names, idIndex, hasBody, service, callerService] = kind;
  const [, , , , , , , idempotent, priority, targetLatencyMs, isCall] = kind;
  const [target, key, leftMs, targetLeftMs, resumes, values, copy = 0] = detail;
  if (names.length !== values.length) return Left('numbers of header names and values differ');
  const headers = names.map((name, index): HeaderPair => [name, textOf(values[index], host)]);
  return Right({
    callerRequest: {
      id: headers[idIndex]?.[1] ?? '',
      method,
      target,
      host,
      headers,
      body,
      hasBody: hasBody === 1,
      deadlineMs: leftMs,
      key: key ?? undefined,
      credential: undefined,
      arrivedMs: sentMs,
    },
    service,
    callerService,
    idempotent: idempotent === 1,
    priority,
    targetLatencyMs,
    targetMs: sentMs + targetLeftMs,
    dueMs: sentMs + leftMs,
    resumes,
    copy,
    isCall: isCall === 1,
  });
}

function textOf(text: string | number | undefined, host: string): string {
  return typeof text === 'string' ? text : host;
}
