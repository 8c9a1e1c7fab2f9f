import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { Socket } from 'node:net';
import { ChartCursor } from '#chart/ChartCursor.js';
import { BodyBudget } from '#core/BodyBudget.js';
import type { Cancel } from '#core/Cancel.js';
import type { HeldBody } from '#core/HeldBody.js';
import { Task } from '#core/Task.js';
import type { CallerLimits } from '#routes/CallerLimits.js';
import type { CallerBodyFault } from '#mesh/CallerBodyFault.js';
import { CallerBodyReader } from '#mesh/CallerBodyReader.js';
import type { CallerBodySignal } from '#mesh/CallerBodySignal.js';
import type { CallerExchange } from '#mesh/CallerExchange.js';
import { callerExchangeChart } from '#mesh/CallerExchangeChart.js';
import type { CallerMessage } from '#mesh/CallerMessage.js';
import type { CallerOptions } from '#mesh/CallerOptions.js';
import type { CallerReply } from '#mesh/CallerReply.js';
import type { ConnectionSide } from '#mesh/ConnectionSide.js';
import { createBodyRefusal } from '#mesh/CreateBodyRefusal.js';
import { listenAt } from '#mesh/ListenAt.js';
import { maxBodiesBytes } from '#mesh/MaxBodiesBytes.js';
import { maxBodyBytes } from '#mesh/MaxBodyBytes.js';
import { readCallerRequest } from '#mesh/ReadCallerRequest.js';
import { rejectMalformed } from '#mesh/RejectMalformed.js';
import { writeCallerReply } from '#mesh/WriteCallerReply.js';

/** Largest request head that the HTTP parser accepts. */
const MAX_HEADER_BYTES = 256 * 1024;

/** Added to the configured idle timeout before an idle connection is closed. */
const IDLE_TIMEOUT_MARGIN_MS = 1_000;

/** Backlog of the listening socket. */
const MAX_WAITING_CONNECTIONS = 1_024;

/** Time for the body of a request that names no deadline, in milliseconds. */
const DEFAULT_BODY_TIMEOUT_MS = 30_000;

/** Time for which the rest of a refused body is read, so that the caller can read its response, in milliseconds. */
const DISCARD_TIMEOUT_MS = 2_000;

/** A connection whose response makes no progress for this time is closed, in milliseconds. */
const RESPONSE_STALL_MS = 10_000;

/**
 * Serves callers over HTTP/1.1. Owns the listening socket and its connections. Responses on a connection keep
 * the order of the requests.
 */
export class CallerTask extends Task<CallerMessage> {
  private readonly options: CallerOptions;
  private readonly server: Server;
  private readonly exchanges = new Map<number, CallerExchange>();
  private readonly exchangesBySocket = new Map<Socket, ReadonlySet<number>>();
  /** Connections whose last response is being written; later requests on them are ignored. */
  private readonly closing = new WeakSet<Socket>();
  /** Connections that are closed after the response to the last request that was read. */
  private readonly malformed = new WeakSet<Socket>();
  /** Memory for the bodies of all requests without a reply. */
  private readonly budget = new BodyBudget(maxBodiesBytes);
  private bodyLimit = maxBodyBytes;
  private nextExchange = 1;
  private stopping = false;
  private refusing = false;

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
    this.server.on('clientError', (err: NodeJS.ErrnoException, socket) => {
      if (socket instanceof Socket) this.post({ type: 'malformed', socket, code: err.code ?? '' });
    });
    this.server.on('connection', (socket: Socket) => {
      options.onAccepted();
      // After the caller's end of stream no response can reach it; 'end' is emitted some iterations before
      // 'close'.
      socket.on('end', () => this.post({ type: 'closed', socket, by: 'caller' }));
      socket.on('close', (hadError) =>
        this.post({ type: 'closed', socket, by: hadError ? 'caller' : 'daemon' }),
      );
    });
  }

  /** Starts listening; rejects if the address is in use. */
  public listen(): Promise<void> {
    return listenAt(this.server, this.options, MAX_WAITING_CONNECTIONS);
  }

  /** Number of requests whose body is being read, that have no reply, or whose response is being written. */
  public get load(): number {
    return this.exchanges.size;
  }

  public override stop(): void {
    super.stop();
    for (const exchange of this.exchanges.values()) exchange.cancelTimer();
    this.server.close();
    this.server.closeAllConnections();
  }

  protected override receive(message: CallerMessage): void {
    switch (message.type) {
      case 'request':
        this.open(message.req, message.res);
        return;
      case 'body':
        this.noteBody(message.exchange, message.signal);
        return;
      case 'refuse':
        this.refuseBody(message.exchange, message.fault);
        return;
      case 'discardExpired':
        this.exchanges.get(message.exchange)?.socket.destroy();
        return;
      case 'replied':
        this.reply(message.exchange, message.reply);
        return;
      case 'flushed':
        this.noteFlushed(message.exchange, message.written);
        return;
      case 'malformed':
        this.noteMalformed(message.socket, message.code);
        return;
      case 'closed':
        this.noteClosed(message.socket, message.by);
        return;
      case 'limits':
        this.applyLimits(message.limits);
        return;
      case 'stopping':
        this.stopping = true;
        this.server.closeIdleConnections();
        return;
      case 'refusing':
        this.refusing = true;
        for (const { number } of this.exchanges.values()) this.refuseBody(number, 'stopping');
        return;
      case 'ending':
        this.server.close();
    }
  }

  private open(req: IncomingMessage, res: ServerResponse): void {
    const { socket } = req;
    if (this.closing.has(socket) || socket.destroyed) {
      this.options.logger.log('requestIgnored', {
        step: 'parse',
        id: readId(req, this.options.headers.requestId),
        cut: socket.destroyed,
      });
      return;
    }
    const number = this.nextExchange;
    this.nextExchange += 1;
    const arrivedMs = this.options.clock.monotonicMs();
    const request = readCallerRequest(req, Buffer.alloc(0), this.options.headers, arrivedMs);
    const reader = new CallerBodyReader(req, this.bodyLimit, this.budget, (signal) =>
      this.post({ type: 'body', exchange: number, signal }),
    );
    // Node.js emits 'finish' for the pending responses of a destroyed connection, too.
    res.on('finish', () => this.post({ type: 'flushed', exchange: number, written: !socket.destroyed }));
    this.exchangesBySocket.set(socket, new Set([...(this.exchangesBySocket.get(socket) ?? []), number]));
    this.exchanges.set(number, {
      number,
      socket,
      res,
      request,
      cursor: new ChartCursor(callerExchangeChart),
      reader,
      body: undefined,
      cancelTimer: request.hasBody ? this.scheduleBodyTimeout(number, request.deadlineMs) : () => undefined,
    });
    if (this.refusing && request.hasBody) this.refuseBody(number, 'stopping');
  }

  private scheduleBodyTimeout(exchange: number, deadlineMs = DEFAULT_BODY_TIMEOUT_MS): Cancel {
    return this.options.clock.schedule(deadlineMs, () =>
      this.post({ type: 'refuse', exchange, fault: 'timeout' }),
    );
  }

  private noteBody(number: number, signal: CallerBodySignal): void {
    switch (signal.type) {
      case 'complete':
        this.forward(number, signal.body);
        return;
      case 'fault':
        this.refuseBody(number, signal.fault);
        return;
      case 'discarded':
        this.noteDiscarded(number);
    }
  }

  private forward(number: number, body: HeldBody): void {
    const exchange = this.exchanges.get(number);
    if (exchange?.cursor.send({ type: 'read' }) !== true) {
      body.release();
      this.noteDiscarded(number);
      return;
    }
    exchange.cancelTimer();
    const request = { ...exchange.request, body: body.bytes };
    this.exchanges.set(number, { ...exchange, request, body, cancelTimer: () => undefined });
    this.options.onRequest(number, request, (reply) =>
      this.post({ type: 'replied', exchange: number, reply }),
    );
  }

  /** Refuses a request whose body has not arrived, and goes on reading the body. */
  private refuseBody(number: number, fault: CallerBodyFault): void {
    const exchange = this.exchanges.get(number);
    if (exchange?.cursor.send({ type: 'refused' }) !== true) return;
    const { res, request, reader } = exchange;
    exchange.cancelTimer();
    reader.discard();
    this.options.logger.log('bodyRefused', { step: 'parse', id: request.id, reason: fault });
    // Node.js would close the connection while the caller still sends, and the reset could destroy the response.
    res.shouldKeepAlive = true;
    writeCallerReply(res, createBodyRefusal(fault), request.id, this.options.headers, false);
    const cancelTimer = this.options.clock.schedule(DISCARD_TIMEOUT_MS, () =>
      this.post({ type: 'discardExpired', exchange: number }),
    );
    this.exchanges.set(number, { ...exchange, cancelTimer });
  }

  private noteDiscarded(number: number): void {
    const exchange = this.exchanges.get(number);
    if (exchange?.cursor.send({ type: 'bodyEnded' }) !== true) return;
    this.remove(exchange);
    if (this.stopping && this.isIdle(exchange.socket)) exchange.socket.destroySoon();
  }

  private reply(number: number, reply: CallerReply): void {
    const exchange = this.exchanges.get(number);
    if (exchange?.cursor.send({ type: 'replied' }) !== true) return;
    const { socket, res, request, body } = exchange;
    body?.release();
    // While a later request on this connection is open, the connection has to stay open for its response.
    const isLast = [...(this.exchangesBySocket.get(socket) ?? [])].every((other) => other <= number);
    const closes = isLast && (this.stopping || this.malformed.has(socket));
    if (closes) this.closing.add(socket);
    socket.setTimeout(RESPONSE_STALL_MS);
    writeCallerReply(res, reply, request.id, this.options.headers, closes);
  }

  private noteFlushed(number: number, written: boolean): void {
    const exchange = this.exchanges.get(number);
    if (exchange?.cursor.send({ type: 'flushed' }) !== true) return;
    const { socket, request } = exchange;
    this.remove(exchange);
    if (!written) this.options.logger.log('responseCut', { step: 'deliver', id: request.id });
    if (!this.isIdle(socket)) socket.setTimeout(0);
    else if (this.malformed.has(socket)) socket.destroySoon();
  }

  /** Answers the requests that were read before the malformed bytes, and closes the connection. */
  private noteMalformed(socket: Socket, code: string): void {
    if (socket.destroyed || this.malformed.has(socket)) return;
    this.malformed.add(socket);
    const numbers = [...(this.exchangesBySocket.get(socket) ?? [])];
    this.options.logger.log('callerMalformed', { step: 'parse', reason: code, requests: numbers.length });
    const reading = numbers.find((number) => this.exchanges.get(number)?.res.req.complete === false);
    if (reading !== undefined) this.reply(reading, createBodyRefusal('malformed'));
    else if (this.isIdle(socket)) rejectMalformed(socket, code);
  }

  private noteClosed(socket: Socket, by: ConnectionSide): void {
    const numbers = [...(this.exchangesBySocket.get(socket) ?? [])];
    this.exchangesBySocket.delete(socket);
    if (by === 'daemon' && numbers.length > 0) this.logCut(socket, numbers);
    for (const number of numbers) {
      const exchange = this.exchanges.get(number);
      if (exchange === undefined) continue;
      const isForwarded = exchange.cursor.state === 'forwarded';
      exchange.cursor.send({ type: 'closed' });
      exchange.body?.release();
      this.remove(exchange);
      if (isForwarded) this.options.onLeft(number);
    }
  }

  private logCut(socket: Socket, numbers: readonly number[]): void {
    const exchanges = numbers.flatMap((number) => this.exchanges.get(number) ?? []);
    this.options.logger.log('callerConnectionCut', {
      step: 'deliver',
      peer: socket.remoteAddress ?? '',
      stopping: this.stopping,
      ids: exchanges.map(({ request, cursor }) => `${request.id}/${cursor.state}`).join(','),
      unsentBytes: socket.writableLength,
    });
  }

  private remove({ number, socket, reader, cancelTimer }: CallerExchange): void {
    cancelTimer();
    reader.discard();
    this.exchanges.delete(number);
    const remaining = new Set(this.exchangesBySocket.get(socket));
    remaining.delete(number);
    if (remaining.size > 0) this.exchangesBySocket.set(socket, remaining);
    else this.exchangesBySocket.delete(socket);
  }

  private isIdle(socket: Socket): boolean {
    return !this.exchangesBySocket.has(socket);
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

function readId({ headers }: IncomingMessage, name: string): string {
  return headers[name.toLowerCase()]?.toString() ?? '';
}
