import type { Socket } from 'node:net';
import { ChartCursor } from '#chart/ChartCursor.js';
import type { ByteBudget } from '#core/ByteBudget.js';
import { MalformedResponseError } from '#mesh/MalformedResponseError.js';
import type { BackendResponseHead } from '#mesh/BackendResponseHead.js';
import { ResponseReader } from '#mesh/ResponseReader.js';
import type { BackendResponse } from '#mesh/BackendResponse.js';
import { openSocket } from '#mesh/OpenSocket.js';
import type { Presence } from '#mesh/Presence.js';
import { serverLinkChart } from '#mesh/ServerLinkChart.js';
import type { ServerLinkEvent } from '#mesh/ServerLinkEvent.js';
import type { ServerLinkSignal } from '#mesh/ServerLinkSignal.js';
import type { SentRequest } from '#mesh/SentRequest.js';

/** A connection that is not established within this time is given up, in milliseconds. */
const CONNECT_TIMEOUT_MS = 400;

/** Part of the server's idle time after which a connection is closed here, so that no order meets its closing. */
const IDLE_PART = 0.7;
const DEFAULT_IDLE_MS = 5_000;

/** Orders that one connection carries at most, as it remembers their ids. */
const MAX_ORDERS = 1_000;

/**
 * One HTTP/1.1 connection to the backend server, which carries one order at a time. Only an answer with the request id of
 * that order ends it; those with another id are skipped, and bytes that no order waits for close the connection. It may
 * carry an id only once: an earlier answer that came again would be taken for that of the second order.
 */
export class ServerLink {
  /** Run of the backend server for which the connection was opened. */
  public readonly incarnation: string;
  private readonly socket: Socket;
  private readonly cursor = new ChartCursor<ServerLinkEvent>(serverLinkChart);
  private readonly reader: ResponseReader;
  private readonly carried = new Set<string>();
  private readonly signal: (signal: ServerLinkSignal) => void;
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
    this.reader = new ResponseReader(idHeader, budget, (head, body) => this.noteAnswer(head, body));
    this.signal = signal;
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
    return this.socket.destroyed ? 'closed' : this.cursor.state;
  }

  /** Whether it can take an order with this id now. */
  public canCarry(requestId: string): boolean {
    return this.state === 'idle' && !this.carried.has(requestId);
  }

  /** Sends the bytes of an order, which the connection must be able to carry. */
  public send(order: SentRequest, head: string, body: Buffer): void {
    this.cursor.send({ type: 'sent' });
    this.reader.begin(order);
    this.carried.add(order.requestId);
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
      this.reader.read(chunk);
    } catch (err) {
      if (!(err instanceof MalformedResponseError)) throw err;
      this.breakOff(err.message, true);
    }
  }

  private readEnd(): void {
    if (this.cursor.state === 'busy' && this.reader.endsWithConnection) {
      this.confirmEnd();
      return;
    }
    if (this.cursor.state === 'busy' && this.reader.hasBegun) this.breakOff('answer ended early', true);
    this.socket.destroy();
  }

  /**
   * Tells the end of an answer without a length from a reset: the event loop reports a reset that arrives together with
   * bytes as an end, but a write on a connection that was reset fails. An empty line before a request has no meaning.
   */
  private confirmEnd(): void {
    this.socket.write('\r\n', (err) => {
      if (err instanceof Error) this.breakOff('answer was reset', true);
      else this.reader.finish();
      this.socket.destroy();
    });
  }

  private noteAnswer(head: BackendResponseHead, body: Buffer): void {
    if (this.cursor.state !== 'busy') return;
    const { status, headers, isCurrent } = head;
    if (head.idleMs !== undefined) this.idleMs = head.idleMs;
    if (isCurrent) this.finishOrder({ status, headers, body }, head.keepsAlive);
    else this.signal({ type: 'skipped', headers });
  }

  private finishOrder(answer: BackendResponse, keepsAlive: boolean): void {
    // The rest of a body that is still unsent would be read as the next request.
    const isSent = this.socket.writableLength === 0;
    // Bytes behind the answer would be read as the beginning of the next one.
    const { hasSurplus, requestId } = this.reader;
    const hasRoom = this.carried.size < MAX_ORDERS;
    const reusable = keepsAlive && isSent && hasRoom && !hasSurplus && !this.socket.readableEnded;
    this.cursor.send({ type: reusable ? 'answered' : 'answeredLast' });
    this.reader.stop();
    if (reusable) this.restIdle();
    else this.socket.destroy();
    this.signal({ type: 'answered', requestId, answer, reusable });
  }

  private breakOff(reason: string, malformed: boolean): void {
    if (!this.cursor.send({ type: 'malformed' })) return;
    const { requestId } = this.reader;
    this.reader.stop();
    this.socket.destroy();
    this.signal({ type: 'broken', requestId, reason, malformed });
  }

  private noteClosed(): void {
    clearTimeout(this.connectTimer);
    const { requestId } = this.reader;
    this.reader.stop();
    const before = this.cursor.state;
    if (!this.cursor.send({ type: 'closed' })) return;
    if (before === 'busy') {
      this.signal({ type: 'broken', requestId, reason: 'connection closed', malformed: false });
      return;
    }
    this.signal({ type: 'closed', refused: this.refused, neverOpened: before === 'connecting' });
  }

  private restIdle(): void {
    this.socket.setTimeout(this.idleMs * IDLE_PART);
  }
}
