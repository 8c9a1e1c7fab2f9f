import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { BodyBuffer } from '#core/BodyBuffer.js';
import type { BodyFault } from '#core/BodyFault.js';
import { ByteBudget } from '#core/ByteBudget.js';
import { Task } from '#core/Task.js';
import type { CallerLimits } from '#routes/CallerLimits.js';
import type { CallerMessage } from '#mesh/CallerMessage.js';
import type { CallerOptions } from '#mesh/CallerOptions.js';
import type { CallerReply } from '#mesh/CallerReply.js';
import type { CallerRequest } from '#mesh/CallerRequest.js';
import { listenAt } from '#mesh/ListenAt.js';
import { maxBodiesBytes } from '#mesh/MaxBodiesBytes.js';
import { maxBodyBytes } from '#mesh/MaxBodyBytes.js';
import { readCallerRequest } from '#mesh/ReadCallerRequest.js';
import { writeCallerReply } from '#mesh/WriteCallerReply.js';

/** Largest request head that the HTTP parser accepts. */
const MAX_HEADER_BYTES = 256 * 1024;

/** Added to the configured idle timeout before an idle connection is closed. */
const IDLE_TIMEOUT_MARGIN_MS = 1_000;

/** Backlog of the listening socket. */
const MAX_WAITING_CONNECTIONS = 1_024;

const PAYLOAD_TOO_LARGE = 413;
const UNAVAILABLE = 503;

/** `Retry-After` time of a request whose body exceeds the memory for all bodies. */
const RETRY_AFTER_MS = 1_000;

interface OpenExchange {
  readonly socket: Socket;
  readonly res: ServerResponse;
  readonly request: CallerRequest;
}

/**
 * Serves callers over HTTP/1.1. Owns the listening socket and its connections. Responses on a connection keep
 * the order of the requests.
 */
export class CallerTask extends Task<CallerMessage> {
  private readonly options: CallerOptions;
  private readonly server: Server;
  private readonly openExchanges = new Map<number, OpenExchange>();
  private readonly exchangesBySocket = new Map<Socket, ReadonlySet<number>>();
  /** Connections whose last response is being written; later requests on them are ignored. */
  private readonly closing = new WeakSet<Socket>();
  /** Memory for the bodies that are being read on all connections. */
  private readonly budget = new ByteBudget(maxBodiesBytes);
  private bodyLimit = maxBodyBytes;
  private nextExchange = 1;
  private stopping = false;

  public constructor(options: CallerOptions) {
    super();
    this.options = options;
    this.server = createServer({
      maxHeaderSize: MAX_HEADER_BYTES,
      keepAliveTimeout: 60_000,
      requestTimeout: 0,
      noDelay: true,
    });
    this.server.on('request', (req, res) => this.post({ type: 'request', req, res }));
    this.server.on('connection', (socket: Socket) => {
      options.onAccepted();
      // After the caller's end of stream no response can reach it; 'end' is emitted some iterations before
      // 'close'.
      socket.on('end', () => this.post({ type: 'closed', socket }));
      socket.on('close', () => this.post({ type: 'closed', socket }));
    });
  }

  /** Starts listening; rejects if the address is in use. */
  public listen(): Promise<void> {
    return listenAt(this.server, this.options, MAX_WAITING_CONNECTIONS);
  }

  public override stop(): void {
    super.stop();
    this.server.close();
    this.server.closeAllConnections();
  }

  protected override receive(message: CallerMessage): void {
    switch (message.type) {
      case 'request':
        this.begin(message.req, message.res);
        return;
      case 'read':
        this.forwardRequest(message.exchange, message.body);
        return;
      case 'replied':
        this.reply(message.exchange, message.reply);
        return;
      case 'closed':
        this.noteClosed(message.socket);
        return;
      case 'limits':
        this.applyLimits(message.limits);
        return;
      case 'stopping':
        this.stopping = true;
        this.server.closeIdleConnections();
    }
  }

  private begin(req: IncomingMessage, res: ServerResponse): void {
    const { socket } = req;
    if (this.closing.has(socket) || socket.destroyed) return;
    const exchange = this.nextExchange;
    this.nextExchange += 1;
    const arrivedMs = this.options.clock.monotonicMs();
    const request = readCallerRequest(req, Buffer.alloc(0), this.options.headers, arrivedMs);
    this.openExchanges.set(exchange, { socket, res, request });
    this.exchangesBySocket.set(socket, new Set([...(this.exchangesBySocket.get(socket) ?? []), exchange]));
    const body = new BodyBuffer(this.bodyLimit, this.budget);
    let fault: BodyFault | undefined;
    req.on('data', (chunk: Buffer) => {
      fault ??= body.add(chunk);
      if (fault !== undefined) body.discard();
    });
    req.on('end', () => {
      if (fault === undefined) this.post({ type: 'read', exchange, body: body.take() });
      else this.refuseBody(exchange, fault);
    });
    req.on('close', () => body.discard());
    // The 'close' event of the connection follows and ends the exchange.
    req.on('error', () => undefined);
  }

  private refuseBody(exchange: number, fault: BodyFault): void {
    const reply: CallerReply =
      fault === 'tooLarge'
        ? { type: 'refusal', status: PAYLOAD_TOO_LARGE, code: 'bodyTooLarge', retryAfterMs: 0 }
        : { type: 'refusal', status: UNAVAILABLE, code: 'full', retryAfterMs: RETRY_AFTER_MS };
    this.post({ type: 'replied', exchange, reply });
  }

  private forwardRequest(exchange: number, body: Buffer): void {
    const found = this.openExchanges.get(exchange);
    if (found === undefined) return;
    const request = { ...found.request, body };
    this.options.onRequest(exchange, request, (reply) => this.post({ type: 'replied', exchange, reply }));
  }

  private reply(exchange: number, reply: CallerReply): void {
    const found = this.openExchanges.get(exchange);
    if (found === undefined) return;
    this.openExchanges.delete(exchange);
    const { socket, res, request } = found;
    const remaining = new Set(this.exchangesBySocket.get(socket));
    remaining.delete(exchange);
    this.exchangesBySocket.set(socket, remaining);
    // While a later request on this connection is open, the connection has to stay open for its response.
    const isLast = [...remaining].every((other) => other < exchange);
    const closes = this.stopping && isLast;
    if (closes) this.closing.add(socket);
    writeCallerReply(res, reply, request.id, this.options.headers, closes);
  }

  private noteClosed(socket: Socket): void {
    const exchanges = this.exchangesBySocket.get(socket) ?? [];
    this.exchangesBySocket.delete(socket);
    for (const exchange of exchanges) {
      this.openExchanges.delete(exchange);
      this.options.onLeft(exchange);
    }
  }

  private applyLimits(limits: CallerLimits): void {
    this.bodyLimit = Math.min(limits.maxBodyBytes, maxBodyBytes);
    if (limits.maxBodyBytes > maxBodyBytes)
      this.options.logger.log('bodyLimitReduced', {
        step: 'parse',
        configured: limits.maxBodyBytes,
        limit: maxBodyBytes,
      });
    this.server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_TIMEOUT_MARGIN_MS;
    this.server.headersTimeout = limits.headerTimeoutMs;
  }
}
