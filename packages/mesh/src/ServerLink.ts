import type { Socket } from 'node:net';
import { HTTPParser, type HTTPParserJS } from 'http-parser-js';
import { ChartCursor } from '#chart/ChartCursor.js';
import { BodyBuffer } from '#core/BodyBuffer.js';
import type { ByteBudget } from '#core/ByteBudget.js';
import { AnswerFault } from '#mesh/AnswerFault.js';
import type { BackendAnswer } from '#mesh/BackendAnswer.js';
import { describeBodyFault } from '#mesh/DescribeBodyFault.js';
import { findHeader } from '#mesh/FindHeader.js';
import type { HeaderPair } from '#mesh/HeaderPair.js';
import { isConnectionHeader } from '#mesh/IsConnectionHeader.js';
import { maxBodyBytes } from '#mesh/MaxBodyBytes.js';
import { openSocket } from '#mesh/OpenSocket.js';
import { pairHeaders } from '#mesh/PairHeaders.js';
import type { ParserPosition } from '#mesh/ParserPosition.js';
import type { Presence } from '#mesh/Presence.js';
import { serverLinkChart } from '#mesh/ServerLinkChart.js';
import type { ServerLinkEvent } from '#mesh/ServerLinkEvent.js';
import type { ServerLinkSignal } from '#mesh/ServerLinkSignal.js';

/** A connection that is not established within this time is given up, in milliseconds. */
const CONNECT_TIMEOUT_MS = 400;

/** Part of the server's idle time after which a connection is closed here, so that no order meets its closing. */
const IDLE_PART = 0.7;
const DEFAULT_IDLE_MS = 5_000;

/** Bytes outside of bodies that may follow each other: heads, trailers, and the lines between chunks. */
const MAX_HEAD_BYTES = 64 * 1024;

/** Bytes that are read for one order at most; leaves room for a skipped answer and for the framing of small chunks. */
const MAX_ORDER_BYTES = 2 * maxBodyBytes;

const FIRST_FINAL_STATUS = 200;

/**
 * One HTTP/1.1 connection to the backend server, which carries one order at a time. Answers that carry another request
 * id than the current order's are skipped, and bytes that no order waits for close the connection.
 */
export class ServerLink {
  /** Run of the backend server for which the connection was opened. */
  public readonly incarnation: string;
  private readonly socket: Socket;
  private readonly cursor = new ChartCursor<ServerLinkEvent>(serverLinkChart);
  private readonly parser: HTTPParserJS = new HTTPParser('RESPONSE');
  private readonly idHeader: string;
  private readonly signal: (signal: ServerLinkSignal) => void;
  private requestId = '';
  private isHead = false;
  private status = 0;
  private headers: readonly HeaderPair[] = [];
  private readonly body: BodyBuffer;
  /** Bytes read since the current order was sent, and those of them in bodies. */
  private orderBytes = 0;
  private bodyBytes = 0;
  /** Bytes outside of bodies since the last byte of a body. */
  private headBytes = 0;
  /** Whether the head of an answer to the current order was read. */
  private hasHead = false;
  private isUnframed = false;
  private keepsAlive = true;
  private idleMs = DEFAULT_IDLE_MS;
  private readonly connectTimer: NodeJS.Timeout;
  private refused = false;

  /** Takes the memory of answers that it reads from `budget`. */
  public constructor(
    { address, incarnation }: Pick<Presence, 'address' | 'incarnation'>,
    idHeader: string,
    budget: ByteBudget,
    signal: (signal: ServerLinkSignal) => void,
  ) {
    this.incarnation = incarnation;
    this.idHeader = idHeader;
    this.body = new BodyBuffer(maxBodyBytes, budget);
    this.signal = signal;
    this.listenToParser();
    this.socket = openSocket(address);
    this.connectTimer = setTimeout(() => this.socket.destroy(), CONNECT_TIMEOUT_MS);
    this.socket.on('connect', () => this.noteConnected());
    this.socket.on('data', (chunk) => this.readBytes(chunk));
    this.socket.on('end', () => this.readEnd());
    this.socket.on('error', (err: NodeJS.ErrnoException) => {
      this.refused = err.code === 'ECONNREFUSED';
    });
    this.socket.on('timeout', () => {
      if (this.cursor.state === 'idle') this.socket.destroy();
    });
    this.socket.on('close', () => this.noteClosed());
  }

  /** `connecting`, `idle`, `busy` or `closed`. */
  public get state(): string {
    return this.cursor.state;
  }

  /** Sends the bytes of an order. The connection must be idle. */
  public send(requestId: string, isHead: boolean, head: string, body: Buffer): void {
    this.cursor.send({ type: 'sent' });
    this.requestId = requestId;
    this.hasHead = false;
    this.orderBytes = 0;
    this.bodyBytes = 0;
    this.headBytes = 0;
    this.isHead = isHead;
    this.socket.setTimeout(0);
    this.socket.cork();
    this.socket.write(head, 'latin1');
    if (body.length > 0) this.socket.write(body);
    this.socket.uncork();
  }

  /** Closes the connection; the backend server drops what it runs for it. */
  public destroy(): void {
    this.socket.destroy();
  }

  private listenToParser(): void {
    this.parser[HTTPParser.kOnHeadersComplete] = (info) => this.noteHead(info.statusCode, info.headers);
    this.parser[HTTPParser.kOnBody] = (chunk, offset, length) => this.noteBody(chunk, offset, length);
    this.parser[HTTPParser.kOnMessageComplete] = () => this.noteComplete();
  }

  private get position(): ParserPosition {
    return this.parser as unknown as ParserPosition;
  }

  private noteConnected(): void {
    clearTimeout(this.connectTimer);
    this.cursor.send({ type: 'connected' });
    this.restIdle();
    this.signal({ type: 'connected' });
  }

  private readBytes(chunk: Buffer): void {
    if (this.cursor.state === 'closed') return;
    if (this.cursor.state !== 'busy') {
      this.cursor.send({ type: 'surplus' });
      this.socket.destroy();
      this.signal({ type: 'closed', refused: false, neverOpened: false });
      return;
    }
    try {
      this.parse(chunk);
    } catch (err) {
      if (!(err instanceof AnswerFault)) throw err;
      this.breakOff(err.message, true);
    }
  }

  private parse(chunk: Buffer): void {
    const { bodyBytes } = this;
    const result = this.parser.execute(chunk);
    this.headBytes = this.bodyBytes > bodyBytes ? 0 : this.headBytes + chunk.length;
    if (this.headBytes > MAX_HEAD_BYTES) throw new AnswerFault(`head exceeds ${MAX_HEAD_BYTES} bytes`);
    this.orderBytes += chunk.length;
    if (this.orderBytes > MAX_ORDER_BYTES)
      throw new AnswerFault(`answers to one order exceed ${MAX_ORDER_BYTES} bytes`);
    if (typeof result !== 'number') throw new AnswerFault('malformed answer');
  }

  private readEnd(): void {
    if (this.cursor.state === 'busy' && this.isUnframed) {
      this.confirmEnd();
      return;
    }
    if (this.cursor.state === 'busy' && this.hasHead) this.breakOff('answer ended early', true);
    this.socket.destroy();
  }

  /**
   * Tells the end of an answer without a length from a reset: the event loop reports a reset that arrives together with
   * bytes as an end, but a write on a connection that was reset fails. An empty line before a request has no meaning.
   */
  private confirmEnd(): void {
    this.socket.write('\r\n', (err) => {
      if (err instanceof Error) this.breakOff('answer was reset', true);
      else this.parser.finish();
      this.socket.destroy();
    });
  }

  private noteHead(status: number, rawHeaders: readonly string[]): 0 | 1 {
    this.status = status;
    this.hasHead = true;
    const pairs = pairHeaders(rawHeaders);
    const length = findHeader(pairs, 'content-length');
    if (length !== undefined && !/^\d+$/.test(length)) throw new AnswerFault('malformed length');
    this.keepsAlive = findHeader(pairs, 'connection')?.toLowerCase() !== 'close';
    const isFramed = length !== undefined || findHeader(pairs, 'transfer-encoding') !== undefined;
    const hasNoBody = this.isHead || status === 204 || status === 304 || status < FIRST_FINAL_STATUS;
    if (!hasNoBody && Number(length) > maxBodyBytes) throw new AnswerFault(describeBodyFault('tooLarge'));
    this.isUnframed = !isFramed && !hasNoBody;
    if (this.isUnframed) this.keepsAlive = false;
    this.noteIdleTime(findHeader(pairs, 'keep-alive'));
    this.headers = pairs.filter(([name]) => !isConnectionHeader(name));
    return hasNoBody ? 1 : 0;
  }

  private noteBody(chunk: Buffer, offset: number, length: number): void {
    // The parser would read a chunk of negative length again and again.
    if (length < 0) throw new AnswerFault('malformed chunk length');
    if (this.cursor.state !== 'busy') return;
    const fault = this.body.add(chunk.subarray(offset, offset + length));
    if (fault !== undefined) throw new AnswerFault(describeBodyFault(fault));
    this.bodyBytes += length;
  }

  private noteIdleTime(keepAlive: string | undefined): void {
    const seconds = /timeout=(\d+)/.exec(keepAlive ?? '')?.[1];
    if (seconds !== undefined) this.idleMs = Number(seconds) * 1_000;
  }

  private noteComplete(): void {
    if (Number.isNaN(this.position.body_bytes)) throw new AnswerFault('malformed chunk length');
    const answer: BackendAnswer = {
      status: this.status,
      headers: this.headers,
      body: this.body.take(),
    };
    if (this.cursor.state !== 'busy' || answer.status < FIRST_FINAL_STATUS) return;
    const id = findHeader(answer.headers, this.idHeader);
    if (id !== undefined && id !== this.requestId) {
      this.signal({ type: 'skipped', headers: answer.headers });
      if (!this.keepsAlive) this.breakOff('connection closed after an answer to another request', true);
      return;
    }
    this.finishOrder(answer);
  }

  private finishOrder(answer: BackendAnswer): void {
    // The rest of a body that is still unsent would be read as the next request.
    const isSent = this.socket.writableLength === 0;
    // Bytes behind the answer would be read as the beginning of the next one.
    const hasSurplus = this.position.offset < this.position.end;
    const reusable = this.keepsAlive && isSent && !hasSurplus && !this.socket.readableEnded;
    this.cursor.send({ type: reusable ? 'answered' : 'answeredLast' });
    this.requestId = '';
    if (reusable) this.restIdle();
    else this.socket.destroy();
    this.signal({ type: 'answered', answer, reusable });
  }

  private breakOff(reason: string, malformed: boolean): void {
    if (!this.cursor.send({ type: 'malformed' })) return;
    this.body.discard();
    this.socket.destroy();
    this.signal({ type: 'broken', reason, malformed });
  }

  private noteClosed(): void {
    clearTimeout(this.connectTimer);
    this.body.discard();
    const before = this.cursor.state;
    if (!this.cursor.send({ type: 'closed' })) return;
    if (before === 'busy') {
      this.signal({ type: 'broken', reason: 'connection closed', malformed: false });
      return;
    }
    this.signal({ type: 'closed', refused: this.refused, neverOpened: before === 'connecting' });
  }

  private restIdle(): void {
    this.socket.setTimeout(this.idleMs * IDLE_PART);
  }
}
