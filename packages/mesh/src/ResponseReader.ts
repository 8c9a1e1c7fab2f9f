import { HTTPParser, type HTTPParserJS } from 'http-parser-js';
import { BodyBuffer } from '#core/BodyBuffer.js';
import type { ByteBudget } from '#core/ByteBudget.js';
import { MalformedResponseError } from '#mesh/MalformedResponseError.js';
import type { BackendResponseHead } from '#mesh/BackendResponseHead.js';
import { createResponseParser } from '#mesh/CreateResponseParser.js';
import { describeBodyFault } from '#mesh/DescribeBodyFault.js';
import { maxBodyBytes } from '#mesh/MaxBodyBytes.js';
import type { ParserPosition } from '#mesh/ParserPosition.js';
import { readBackendResponseHead } from '#mesh/ReadBackendResponseHead.js';
import type { SentRequest } from '#mesh/SentRequest.js';

/** Bytes outside of bodies that may follow each other: heads, trailers, and the lines between chunks. */
const MAX_HEAD_BYTES = 64 * 1024;

/** Bytes that are read for one order at most; leaves room for a skipped answer and for the framing of small chunks. */
const MAX_ORDER_BYTES = 2 * maxBodyBytes;

const SWITCHING_PROTOCOLS = 101;
const FIRST_FINAL_STATUS = 200;

/** Tells the parser that no body follows a head. */
const SKIP_BODY = 1;

/** What was read for one order. */
interface Reading {
  readonly order: SentRequest;
  /** Head of the final answer that is being read. */
  readonly head: BackendResponseHead | undefined;
  /** Whether any head was read. */
  readonly hasBegun: boolean;
  readonly bytes: number;
  readonly bodyBytes: number;
  /** Bytes outside of bodies since the last byte of a body. */
  readonly headBytes: number;
}

/**
 * Reads the answers of one connection to the backend server. Each order begins a new reading, of which nothing lasts
 * until the next. Faults of an answer are thrown as `AnswerFault`.
 */
export class ResponseReader {
  private readonly idHeader: string;
  private readonly onAnswer: (head: BackendResponseHead, body: Buffer) => void;
  private readonly parser: HTTPParserJS = createResponseParser();
  private readonly body: BodyBuffer;
  private reading: Reading | undefined;
  /** Whether an order with the method HEAD was sent, whose answers announce bodies that they do not have. */
  private hadHead = false;

  /** Takes the memory of bodies from `budget`. `onAnswer` receives each whole answer with an id. */
  public constructor(
    idHeader: string,
    budget: ByteBudget,
    onAnswer: (head: BackendResponseHead, body: Buffer) => void,
  ) {
    this.idHeader = idHeader;
    this.body = new BodyBuffer(maxBodyBytes, budget);
    this.onAnswer = onAnswer;
    this.parser[HTTPParser.kOnHeadersComplete] = (info) => this.noteHead(info.statusCode, info.headers);
    this.parser[HTTPParser.kOnBody] = (chunk, offset, length) => this.noteBody(chunk, offset, length);
    this.parser[HTTPParser.kOnMessageComplete] = () => this.noteComplete();
  }

  /** Begins to read the answer to an order. */
  public begin(order: SentRequest): void {
    this.reading = { order, head: undefined, hasBegun: false, bytes: 0, bodyBytes: 0, headBytes: 0 };
    this.hadHead ||= order.isHead;
  }

  /** Ends the reading for an order; what follows in the same bytes is not read. */
  public stop(): void {
    this.reading = undefined;
    this.body.discard();
  }

  /** Id of the order whose answer is read; empty if there is none. */
  public get requestId(): string {
    return this.reading?.order.requestId ?? '';
  }

  /** Whether a part of an answer to the order was read. */
  public get hasBegun(): boolean {
    return this.reading?.hasBegun === true;
  }

  /** Whether the end of the connection would be the end of the answer. */
  public get endsWithConnection(): boolean {
    return this.reading?.head?.isUnframed === true;
  }

  /** Whether bytes that were read lie behind the last answer. */
  public get hasSurplus(): boolean {
    const { offset, end } = this.parser as unknown as ParserPosition;
    return offset < end;
  }

  /** Reads bytes that arrived. */
  public read(chunk: Buffer): void {
    const before = this.reading?.bodyBytes;
    const result = this.parser.execute(chunk);
    const { reading } = this;
    if (reading === undefined) return;
    const headBytes = reading.bodyBytes === before ? reading.headBytes + chunk.length : 0;
    const bytes = reading.bytes + chunk.length;
    this.reading = { ...reading, headBytes, bytes };
    if (headBytes > MAX_HEAD_BYTES) throw new MalformedResponseError(`head exceeds ${MAX_HEAD_BYTES} bytes`);
    if (bytes > MAX_ORDER_BYTES)
      throw new MalformedResponseError(`answers to one order exceed ${MAX_ORDER_BYTES} bytes`);
    if (typeof result !== 'number') throw new MalformedResponseError('malformed answer');
  }

  /** Takes the end of the connection for the end of the answer. */
  public finish(): void {
    this.parser.finish();
  }

  private noteHead(status: number, rawHeaders: readonly string[]): 0 | typeof SKIP_BODY {
    const { reading } = this;
    if (reading === undefined) return SKIP_BODY;
    if (status === SWITCHING_PROTOCOLS) throw new MalformedResponseError('switch of protocols');
    if (status < FIRST_FINAL_STATUS) {
      this.reading = { ...reading, hasBegun: true };
      return SKIP_BODY;
    }
    const head = readBackendResponseHead(status, rawHeaders, reading.order, this.idHeader);
    if (!head.isCurrent) this.checkSkipped(head);
    this.reading = { ...reading, hasBegun: true, head };
    return head.hasBody ? 0 : SKIP_BODY;
  }

  /** Makes sure that an answer to an earlier order ends before the present one begins. */
  private checkSkipped({ keepsAlive }: BackendResponseHead): void {
    if (!keepsAlive) throw new MalformedResponseError('connection closed after an answer to another request');
    if (this.hadHead) throw new MalformedResponseError('answer to another request that may be one to HEAD');
  }

  private noteBody(chunk: Buffer, offset: number, length: number): void {
    const { reading } = this;
    if (reading === undefined) return;
    const fault = this.body.add(chunk.subarray(offset, offset + length));
    if (fault !== undefined) throw new MalformedResponseError(describeBodyFault(fault));
    this.reading = { ...reading, bodyBytes: reading.bodyBytes + length };
  }

  private noteComplete(): void {
    const { reading } = this;
    if (reading?.head === undefined) return;
    this.reading = { ...reading, head: undefined };
    this.onAnswer(reading.head, this.body.take());
  }
}
