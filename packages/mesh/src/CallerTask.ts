import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { Server as TcpServer, type Socket } from 'node:net';
import { ChartCursor } from '#chart/ChartCursor.js';
import { BodyBudget } from '#core/BodyBudget.js';
import type { Cancel } from '#core/Cancel.js';
import type { HeldBody } from '#core/HeldBody.js';
import { Task } from '#core/Task.js';
import { CallerConnection } from '#connection/CallerConnection.js';
import type { CallerLimits } from '#routes/CallerLimits.js';
import type { CallerBodyFault } from '#mesh/CallerBodyFault.js';
import { CallerBodyReader } from '#mesh/CallerBodyReader.js';
import type { CallerBodySignal } from '#mesh/CallerBodySignal.js';
import type { CallerExchange } from '#mesh/CallerExchange.js';
import { callerExchangeChart } from '#mesh/CallerExchangeChart.js';
import { CallerExchangeTable } from '#mesh/CallerExchangeTable.js';
import { CallerGuard } from '#mesh/CallerGuard.js';
import type { CallerMessage } from '#mesh/CallerMessage.js';
import type { CallerOptions } from '#mesh/CallerOptions.js';
import type { CallerReply } from '#mesh/CallerReply.js';
import type { ConnectionSide } from '#mesh/ConnectionSide.js';
import { createBodyRefusal } from '#mesh/CreateBodyRefusal.js';
import { createCallerServer } from '#mesh/CreateCallerServer.js';
import { describeCut } from '#mesh/DescribeCut.js';
import { ignoreRequest } from '#mesh/IgnoreRequest.js';
import { isFromOwnVm } from '#mesh/IsFromOwnVm.js';
import { listenAt } from '#mesh/ListenAt.js';
import { maxBodiesBytes } from '#mesh/MaxBodiesBytes.js';
import { maxBodyBytes } from '#mesh/MaxBodyBytes.js';
import { readCallerRequest } from '#mesh/ReadCallerRequest.js';
import { rejectMalformed } from '#mesh/RejectMalformed.js';
import { rejectMissingHost } from '#mesh/RejectMissingHost.js';
import { reportReducedLimits } from '#mesh/ReportReducedLimits.js';
import { tryWriteCallerReply } from '#mesh/TryWriteCallerReply.js';
import { UnsentLimit } from '#mesh/UnsentLimit.js';
import { writeCallerReply } from '#mesh/WriteCallerReply.js';

/** Added to the configured idle timeout before an idle connection is closed. */
const IDLE_TIMEOUT_MARGIN_MS = 1_000;

/** Backlog of the listening socket. */
const MAX_WAITING_CONNECTIONS = 1_024;

/** Time for the body of a request that names no deadline, in milliseconds. */
const DEFAULT_BODY_TIMEOUT_MS = 30_000;

/** Time for which the rest of a refused body is read before its connection ends, in milliseconds. */
const DISCARD_TIMEOUT_MS = 2_000;

/** Error code of Node.js for a head over its limit. */
const HEAD_TOO_LARGE = 'HPE_HEADER_OVERFLOW';

/** A connection whose response makes no progress for this time is closed, in milliseconds. */
const RESPONSE_STALL_MS = 10_000;

/**
 * Serves callers over HTTP/1.1. Owns the listening socket and its connections. Responses on a connection keep
 * the order of the requests.
 */
export class CallerTask extends Task<CallerMessage> {
  private readonly options: CallerOptions;
  private readonly server: Server;
  private readonly exchanges = new CallerExchangeTable();
  private readonly connections = new Map<Socket, CallerConnection>();
  /** Memory for the bodies of all requests without a reply. */
  private readonly budget = new BodyBudget(maxBodiesBytes);
  private readonly unsent: UnsentLimit;
  private readonly guard: CallerGuard;
  private bodyLimit = maxBodyBytes;
  private nextExchange = 1;
  private stopping = false;
  private refusing = false;
  private ending = false;

  public constructor(options: CallerOptions) {
    super();
    this.options = options;
    this.unsent = new UnsentLimit(options, this.exchanges);
    this.guard = new CallerGuard(options, () => this.post({ type: 'checkHeads' }));
    const { capacity, onAccepted } = options;
    this.server = createCallerServer(capacity.maxHeadBytes, (message) => this.post(message), onAccepted);
  }

  /** Starts listening; rejects if the address is in use. */
  public listen(): Promise<void> {
    return listenAt(this.server, this.options, MAX_WAITING_CONNECTIONS);
  }

  /**
   * Number of requests whose body is being read, that have no reply, or whose response is being written, and at the end of the
   * process of connections that wait for their caller to close.
   */
  public get load(): number {
    if (!this.ending) return this.exchanges.size;
    const lingering = [...this.connections.values()].filter((connection) => connection.isLingering);
    return this.exchanges.size + lingering.length;
  }

  public override stop(): void {
    super.stop();
    this.guard.stop();
    for (const exchange of this.exchanges.list()) exchange.cancelTimer();
    this.server.close();
    this.server.closeAllConnections();
  }

  protected override receive(message: CallerMessage): void {
    switch (message.type) {
      case 'connected':
        this.connect(message.socket);
        return;
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
        this.noteDiscardExpired(message.exchange);
        return;
      case 'replied':
        this.reply(message.exchange, message.reply);
        return;
      case 'checkHeads':
        this.guard.checkHeads();
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
      case 'timedOut':
        this.noteTimedOut(message.socket);
        return;
      case 'limits':
        this.applyLimits(message.limits);
        return;
      case 'stopping':
        this.stopping = true;
        return;
      case 'refusing':
        this.refusing = true;
        for (const { number } of this.exchanges.list()) this.refuseBody(number, 'stopping');
        return;
      case 'ending':
        this.stopListening();
        return;
      case 'readBeforeEnd':
        this.endIdle();
    }
  }

  private stopListening(): void {
    // `close` of `node:http` would destroy connections whose responses are not written yet.
    TcpServer.prototype.close.call(this.server);
    setImmediate(() => this.post({ type: 'readBeforeEnd' }));
  }

  private endIdle(): void {
    this.ending = true;
    for (const [socket, connection] of this.connections) if (this.exchanges.isIdle(socket)) connection.end();
  }

  private connect(socket: Socket): void {
    const { clock, logger } = this.options;
    const peer = socket.remoteAddress ?? '';
    const connection = new CallerConnection(socket, clock, (bytes) =>
      logger.log('callerBytesDiscarded', { step: 'parse', peer, bytes }),
    );
    this.connections.set(socket, connection);
    this.guard.add(socket);
  }

  private open(req: IncomingMessage, res: ServerResponse): void {
    const { socket } = req;
    if (this.connections.get(socket)?.isOpen !== true) {
      ignoreRequest(req, this.options.headers.requestId, this.options.logger);
      return;
    }
    if (req.headers.host === undefined && req.httpVersion === '1.1') {
      this.connections.get(socket)?.finish();
      rejectMissingHost(req, res);
      return;
    }
    this.guard.noteBusy(socket);
    const number = this.nextExchange;
    this.nextExchange += 1;
    const arrivedMs = this.options.clock.monotonicMs();
    const read = readCallerRequest(req, Buffer.alloc(0), this.options.headers, arrivedMs);
    const request = { ...read, isFromOwnVm: isFromOwnVm(socket) };
    const reader = new CallerBodyReader(req, this.bodyLimit, this.budget, (signal) =>
      this.post({ type: 'body', exchange: number, signal }),
    );
    // Node.js emits 'finish' for the pending responses of a destroyed connection, too.
    res.on('finish', () => this.post({ type: 'flushed', exchange: number, written: !socket.destroyed }));
    this.exchanges.add({
      number,
      socket,
      res,
      request,
      cursor: new ChartCursor(callerExchangeChart),
      reader,
      body: undefined,
      cancelTimer: request.hasBody ? this.scheduleBodyTimeout(number, request.deadlineMs) : () => undefined,
    });
    // A request that asks for the end of its connection is the last one on it.
    if (!res.shouldKeepAlive) this.connections.get(socket)?.finish();
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
    const exchange = this.exchanges.find(number);
    if (exchange?.cursor.send({ type: 'read' }) !== true) {
      body.release();
      this.noteDiscarded(number);
      return;
    }
    exchange.cancelTimer();
    const request = { ...exchange.request, body: body.bytes };
    this.exchanges.update({ ...exchange, request, body, cancelTimer: () => undefined });
    this.options.onRequest(number, request, (reply) =>
      this.post({ type: 'replied', exchange: number, reply }),
    );
  }

  /** Refuses a request whose body has not arrived, and goes on reading the body. */
  private refuseBody(number: number, fault: CallerBodyFault): void {
    const exchange = this.exchanges.find(number);
    if (exchange?.cursor.send({ type: 'refused' }) !== true) return;
    const { socket, res, request, reader } = exchange;
    exchange.cancelTimer();
    reader.discard();
    this.options.logger.log('bodyRefused', { step: 'parse', id: request.id, reason: fault });
    // The connection stays in use if the body ends in time.
    res.shouldKeepAlive = !this.stopping;
    writeCallerReply(res, createBodyRefusal(fault), request.id, this.options.headers, this.stopping);
    if (this.stopping) this.connections.get(socket)?.finish();
    this.exchanges.update({ ...exchange, cancelTimer: this.scheduleDiscard(number) });
  }

  private scheduleDiscard(exchange: number): Cancel {
    return this.options.clock.schedule(DISCARD_TIMEOUT_MS, () =>
      this.post({ type: 'discardExpired', exchange }),
    );
  }

  private noteDiscarded(number: number): void {
    const exchange = this.exchanges.find(number);
    if (exchange?.cursor.send({ type: 'bodyEnded' }) !== true) return;
    exchange.cancelTimer();
    this.removeEnded(exchange);
  }

  private removeEnded(exchange: CallerExchange): void {
    if (exchange.cursor.state === 'ended') this.remove(exchange);
    this.noteProgress(exchange.socket);
  }

  private noteDiscardExpired(number: number): void {
    const exchange = this.exchanges.find(number);
    if (exchange === undefined) return;
    const { socket } = exchange;
    // The requests before it get their responses first.
    if (this.exchanges.findFirst(socket) === exchange) this.connections.get(socket)?.end();
    else this.exchanges.update({ ...exchange, cancelTimer: this.scheduleDiscard(number) });
  }

  private reply(number: number, reply: CallerReply): void {
    const exchange = this.exchanges.find(number);
    if (exchange?.cursor.send({ type: 'replied' }) !== true) return;
    const { socket, res, request, body } = exchange;
    body?.release();
    // While a later request on this connection is open, the connection has to stay open for its response.
    const connection = this.connections.get(socket);
    const closes = this.exchanges.isLast(exchange) && (this.stopping || connection?.isOpen !== true);
    if (closes) connection?.finish();
    this.watchProgress(socket);
    const { headers, logger } = this.options;
    tryWriteCallerReply(res, reply, request.id, { names: headers, closes, logger });
    this.unsent.add(number, reply.type === 'answer' ? reply.response.body.length : 0, socket);
  }

  private noteFlushed(number: number, written: boolean): void {
    const exchange = this.exchanges.find(number);
    if (exchange?.cursor.send({ type: 'flushed' }) !== true) return;
    const { id } = exchange.request;
    if (!written) this.options.logger.log('responseCut', { step: 'deliver', id });
    this.removeEnded(exchange);
  }

  /** Ends a connection without open requests if no more are handled, or waits for the progress of the next response. */
  private noteProgress(socket: Socket): void {
    if (!this.exchanges.isIdle(socket)) {
      this.watchProgress(socket);
      return;
    }
    const connection = this.connections.get(socket);
    if (this.ending || connection?.isOpen === false) connection?.end();
  }

  /** Limits the time without progress while the response to the first open request is being written. */
  private watchProgress(socket: Socket): void {
    socket.setTimeout(this.isWriting(socket) ? RESPONSE_STALL_MS : 0);
  }

  private isWriting(socket: Socket): boolean {
    return this.exchanges.findFirst(socket)?.cursor.state === 'responding';
  }

  private noteTimedOut(socket: Socket): void {
    if (this.exchanges.isIdle(socket)) {
      this.connections.get(socket)?.end();
      return;
    }
    if (!this.isWriting(socket)) return;
    this.options.logger.log('responseStalled', { step: 'deliver', peer: socket.remoteAddress ?? '' });
    socket.destroy();
  }

  /** Answers the requests that were read before the malformed bytes, and closes the connection. */
  private noteMalformed(socket: Socket, code: string): void {
    const connection = this.connections.get(socket);
    if (connection?.isOpen !== true) return;
    connection.finish();
    const exchanges = this.exchanges.listOf(socket);
    this.options.logger.log('callerMalformed', { step: 'parse', reason: code, requests: exchanges.length });
    const reading = exchanges.find(({ res }) => !res.req.complete);
    if (reading !== undefined) this.reply(reading.number, createBodyRefusal('malformed'));
    else if (exchanges.length === 0) rejectMalformed(socket, code);
    if (code === HEAD_TOO_LARGE) this.guard.noteHeadRefused(socket);
  }

  private noteClosed(socket: Socket, by: ConnectionSide): void {
    if (socket.destroyed) {
      this.connections.delete(socket);
      this.guard.remove(socket);
    }
    const exchanges = this.exchanges.listOf(socket);
    if (by === 'daemon' && exchanges.length > 0)
      this.options.logger.log('callerConnectionCut', describeCut(socket, exchanges));
    for (const exchange of exchanges) {
      // A caller that has ended its side only may still read the response that is being written.
      if (!socket.destroyed && exchange.cursor.state === 'responding') continue;
      const isForwarded = exchange.cursor.state === 'forwarded';
      exchange.cursor.send({ type: 'closed' });
      exchange.body?.release();
      this.remove(exchange);
      if (isForwarded) this.options.onLeft(exchange.number);
    }
  }

  private remove(exchange: CallerExchange): void {
    exchange.cancelTimer();
    exchange.reader.discard();
    this.unsent.remove(exchange.number);
    this.exchanges.remove(exchange);
    if (this.exchanges.isIdle(exchange.socket)) this.guard.noteIdle(exchange.socket);
  }

  private applyLimits(limits: CallerLimits): void {
    this.bodyLimit = Math.min(limits.maxBodyBytes, maxBodyBytes);
    reportReducedLimits(limits, this.options.capacity, this.options.logger);
    this.server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_TIMEOUT_MARGIN_MS;
    this.server.headersTimeout = limits.headerTimeoutMs;
  }
}
