import type { Socket } from 'node:net';
import { ChartCursor } from '#chart/ChartCursor.js';
import type { BodyBudget } from '#core/BodyBudget.js';
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

/** Time in which a connection must be established, in milliseconds. */
const CONNECT_TIMEOUT_MS = 400;

/** Fraction of the server's keep-alive timeout after which an idle connection is closed, before the server closes it. */
const IDLE_FRACTION = 0.7;
const DEFAULT_IDLE_MS = 5_000;

/** Maximum number of requests on one connection, as it keeps the ids of all of them. */
const MAX_REQUESTS = 1_000;

/**
 * One HTTP/1.1 connection to the backend server, which carries one request at a time. Only a response with the id of that
 * request completes it. Responses with other ids are skipped, and bytes that arrive while no request is in progress close
 * the connection. Each request id is sent only once per connection: otherwise a repeated response to the first request
 * could be taken for the response to the second.
 */
export class ServerLink {
  /** Run of the backend server for which the connection was opened. */
  public readonly incarnation: string;
  private readonly socket: Socket;
  private readonly cursor = new ChartCursor<ServerLinkEvent>(serverLinkChart);
  private readonly reader: ResponseReader;
  private readonly sentIds = new Set<string>();
  private readonly signal: (signal: ServerLinkSignal) => void;
  private idleMs = DEFAULT_IDLE_MS;
  private readonly connectTimer: NodeJS.Timeout;
  private refused = false;

  /** The memory of response bodies is accounted to `budget`. */
  public constructor(
    { address, incarnation }: Pick<Presence, 'address' | 'incarnation'>,
    idHeader: string,
    budget: BodyBudget,
    signal: (signal: ServerLinkSignal) => void,
  ) {
    this.incarnation = incarnation;
    this.reader = new ResponseReader(idHeader, budget, (head, body) => this.noteResponse(head, body));
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

  /** Whether the connection is idle and has not carried a request with this id. */
  public canCarry(requestId: string): boolean {
    return this.state === 'idle' && !this.sentIds.has(requestId);
  }

  /** Sends a request. `canCarry` must hold for its id. */
  public send(request: SentRequest, head: string, body: Buffer): void {
    this.cursor.send({ type: 'sent' });
    this.reader.begin(request);
    this.sentIds.add(request.requestId);
    this.socket.setTimeout(0);
    this.socket.cork();
    this.socket.write(head, 'latin1');
    if (body.length > 0) this.socket.write(body);
    this.socket.uncork();
  }

  /** Closes the connection; the backend server then aborts the request that runs on it. */
  public destroy(): void {
    this.socket.destroy();
  }

  private noteConnected(): void {
    clearTimeout(this.connectTimer);
    this.cursor.send({ type: 'connected' });
    this.startIdleTimeout();
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
      this.failRequest(err.message, true);
    }
  }

  private readEnd(): void {
    if (this.cursor.state === 'busy' && this.reader.endsWithConnection) {
      this.confirmRegularEnd();
      return;
    }
    if (this.cursor.state === 'busy' && this.reader.hasBegun) this.failRequest('response ended early', true);
    this.socket.destroy();
  }

  /**
   * Distinguishes the regular end of a response without a length from a reset of the connection. Node.js reports a reset
   * that arrives together with data as a regular end, but a write to a reset connection fails. The empty line that is
   * written is ignored by servers.
   */
  private confirmRegularEnd(): void {
    this.socket.write('\r\n', (err) => {
      if (err instanceof Error) this.failRequest('response was reset', true);
      else this.reader.finish();
      this.socket.destroy();
    });
  }

  private noteResponse(head: BackendResponseHead, body: Buffer): void {
    if (this.cursor.state !== 'busy') return;
    const { status, headers, isCurrent } = head;
    if (head.idleMs !== undefined) this.idleMs = head.idleMs;
    if (isCurrent) this.finishRequest({ status, headers, body }, head.keepsAlive);
    else this.signal({ type: 'skipped', headers });
  }

  private finishRequest(response: BackendResponse, keepsAlive: boolean): void {
    // The server would read the unsent rest of the request body as the next request.
    const isSent = this.socket.writableLength === 0;
    // Bytes after the response would be read as the start of the next one.
    const { hasSurplus, requestId } = this.reader;
    const hasRoom = this.sentIds.size < MAX_REQUESTS;
    const reusable = keepsAlive && isSent && hasRoom && !hasSurplus && !this.socket.readableEnded;
    this.cursor.send({ type: reusable ? 'answered' : 'answeredLast' });
    this.reader.stop();
    if (reusable) this.startIdleTimeout();
    else this.socket.destroy();
    this.signal({ type: 'answered', requestId, response, reusable });
  }

  private failRequest(reason: string, malformed: boolean): void {
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

  private startIdleTimeout(): void {
    this.socket.setTimeout(this.idleMs * IDLE_FRACTION);
  }
}
