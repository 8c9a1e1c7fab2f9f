import { HTTPParser, type HTTPParserJS } from 'http-parser-js';
import { BodyBuffer } from '#core/BodyBuffer.js';
import type { BodyBudget } from '#core/BodyBudget.js';
import { MalformedResponseError } from '#mesh/MalformedResponseError.js';
import type { BackendResponseHead } from '#mesh/BackendResponseHead.js';
import { createResponseParser } from '#mesh/CreateResponseParser.js';
import { describeBodyFault } from '#mesh/DescribeBodyFault.js';
import { maxBodyBytes } from '#mesh/MaxBodyBytes.js';
import type { ParserPosition } from '#mesh/ParserPosition.js';
import { readBackendResponseHead } from '#mesh/ReadBackendResponseHead.js';
import type { SentRequest } from '#mesh/SentRequest.js';

/** Maximum number of consecutive bytes outside of bodies: heads, trailers and chunk framing. */
const MAX_HEAD_BYTES = 64 * 1024;

/** Maximum number of bytes read for one request. Leaves room for a skipped response and the framing of small chunks. */
const MAX_RESPONSE_BYTES = 2 * maxBodyBytes;

const SWITCHING_PROTOCOLS = 101;
const FIRST_FINAL_STATUS = 200;

/** Return value of the head callback that tells the parser that no body follows. */
const SKIP_BODY = 1;

/** Progress of reading the response to one request. */
interface Reading {
  readonly request: SentRequest;
  /** Head of the final response whose body is being read. */
  readonly head: BackendResponseHead | undefined;
  /** Whether a head was read, be it interim or final. */
  readonly hasBegun: boolean;
  readonly bytes: number;
  readonly bodyBytes: number;
  /** Number of bytes outside of bodies since the last body byte. */
  readonly headBytes: number;
}

/**
 * Reads the responses on one connection to the backend server. The reading state starts afresh with each request.
 * Malformed responses are thrown as `MalformedResponseError`.
 */
export class ResponseReader {
  private readonly idHeader: string;
  private readonly onResponse: (head: BackendResponseHead, body: Buffer) => void;
  private readonly parser: HTTPParserJS = createResponseParser();
  private readonly body: BodyBuffer;
  private reading: Reading | undefined;
  /** Whether a HEAD request was sent, whose response announces the length of a body that does not follow. */
  private hadHeadRequest = false;

  /** The memory of bodies is accounted to `budget`. `onResponse` receives each complete response. */
  public constructor(
    idHeader: string,
    budget: BodyBudget,
    onResponse: (head: BackendResponseHead, body: Buffer) => void,
  ) {
    this.idHeader = idHeader;
    this.body = new BodyBuffer(maxBodyBytes, budget);
    this.onResponse = onResponse;
    this.parser[HTTPParser.kOnHeadersComplete] = (info) => this.noteHead(info.statusCode, info.headers);
    this.parser[HTTPParser.kOnBody] = (chunk, offset, length) => this.noteBody(chunk, offset, length);
    this.parser[HTTPParser.kOnMessageComplete] = () => this.noteComplete();
  }

  /** Starts to read the response to a request. */
  public begin(request: SentRequest): void {
    this.reading = { request, head: undefined, hasBegun: false, bytes: 0, bodyBytes: 0, headBytes: 0 };
    this.hadHeadRequest ||= request.isHead;
  }

  /** Stops reading for the current request; further bytes are ignored. */
  public stop(): void {
    this.reading = undefined;
    this.body.discard();
  }

  /** Id of the request whose response is being read; empty if there is none. */
  public get requestId(): string {
    return this.reading?.request.requestId ?? '';
  }

  /** Whether a head was read since the current request was sent. */
  public get hasBegun(): boolean {
    return this.reading?.hasBegun === true;
  }

  /** Whether the response has no length, so that its body ends with the connection. */
  public get endsWithConnection(): boolean {
    return this.reading?.head?.isUnframed === true;
  }

  /** Whether unparsed bytes follow the last response. */
  public get hasSurplus(): boolean {
    const { offset, end } = this.parser as unknown as ParserPosition;
    return offset < end;
  }

  /** Parses received bytes. Throws a `MalformedResponseError` if they break the protocol or a limit. */
  public read(chunk: Buffer): void {
    const before = this.reading?.bodyBytes;
    const result = this.parser.execute(chunk);
    const { reading } = this;
    if (reading === undefined) return;
    const headBytes = reading.bodyBytes === before ? reading.headBytes + chunk.length : 0;
    const bytes = reading.bytes + chunk.length;
    this.reading = { ...reading, headBytes, bytes };
    if (headBytes > MAX_HEAD_BYTES) throw new MalformedResponseError(`head exceeds ${MAX_HEAD_BYTES} bytes`);
    if (bytes > MAX_RESPONSE_BYTES)
      throw new MalformedResponseError(`responses to one request exceed ${MAX_RESPONSE_BYTES} bytes`);
    if (typeof result !== 'number') throw new MalformedResponseError('malformed response');
  }

  /** Ends a response without a length, since its connection was closed. */
  public finish(): void {
    this.parser.finish();
  }

  private noteHead(status: number, rawHeaders: readonly string[]): 0 | typeof SKIP_BODY {
    const { reading } = this;
    if (reading === undefined) return SKIP_BODY;
    if (status === SWITCHING_PROTOCOLS) throw new MalformedResponseError('protocol switch');
    if (status < FIRST_FINAL_STATUS) {
      this.reading = { ...reading, hasBegun: true };
      return SKIP_BODY;
    }
    const head = readBackendResponseHead(status, rawHeaders, reading.request, this.idHeader);
    if (!head.isCurrent) this.checkSkipped(head);
    this.reading = { ...reading, hasBegun: true, head };
    return head.hasBody ? 0 : SKIP_BODY;
  }

  /** Checks that the end of a response to an earlier request can be determined, so that the next one is read correctly. */
  private checkSkipped({ keepsAlive }: BackendResponseHead): void {
    if (!keepsAlive)
      throw new MalformedResponseError('connection closes after a response to an earlier request');
    if (this.hadHeadRequest)
      throw new MalformedResponseError('response to an earlier request, which may be a HEAD request');
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
    this.onResponse(reading.head, this.body.take());
  }
}
