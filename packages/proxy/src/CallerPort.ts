import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { Server as TcpServer, type Socket } from 'node:net';
import type { Clock } from '#core/Clock.js';
import { Logger } from '#core/Logger.js';
import { CallerConnections } from '#proxy/CallerConnections.js';
import type { EntryMessage } from '#proxy/EntryMessage.js';
import type { HopMessage } from '#proxy/HopMessage.js';
import { parseReceipt } from '#proxy/ParseReceipt.js';
import type { ReceiptMessage } from '#proxy/ReceiptMessage.js';
import { readRequestBody } from '#proxy/ReadRequestBody.js';
import { writeRefusal } from '#proxy/WriteRefusal.js';

const MAX_HEADER_BYTES = 16_384;
const HEADERS_TIMEOUT_MS = 10_000;
const REQUEST_TIMEOUT_MS = 60_000;
const KEEP_ALIVE_TIMEOUT_MS = 75_000;
const MAX_RECEIPT_BYTES = 1024;
const RECEIPT_PATTERN = /^\/v1\/-\/receipts\/([A-Za-z0-9._-]{1,128})$/;

/** Owns the port for callers and for requests forwarded by other daemons, and hands each request to its task. */
export class CallerPort {
  private readonly logger = new Logger('caller');
  private readonly server: Server;
  private readonly connections: CallerConnections;

  public constructor(
    clock: Clock,
    private readonly postToEntry: (message: EntryMessage) => void,
    private readonly postToHop: (message: HopMessage) => void,
    private readonly postToReceipts: (message: ReceiptMessage) => void,
  ) {
    this.connections = new CallerConnections(clock);
    this.server = createServer(
      {
        maxHeaderSize: MAX_HEADER_BYTES,
        headersTimeout: HEADERS_TIMEOUT_MS,
        requestTimeout: REQUEST_TIMEOUT_MS,
        keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
        insecureHTTPParser: false,
      },
      (req, res) => this.dispatch(req, res),
    );
    this.server.on('connection', (socket: Socket) => this.connections.add(socket));
    this.server.on('clientError', (err: NodeJS.ErrnoException, socket: Socket) =>
      this.rejectMalformed(err, socket),
    );
  }

  /** Listens and resolves with the port; port 0 lets the operating system choose one. */
  public start(port: number, host: string): Promise<number> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen({ port, host, backlog: 1024 }, () => {
        const address = this.server.address();
        resolve(typeof address === 'object' && address !== null ? address.port : port);
      });
    });
  }

  /** Keeps serving, but ends each connection after its next response, so that few idle ones remain at `close`. */
  public disableKeepAlive(): void {
    this.connections.leave();
  }

  /** Stops accepting connections; open ones end after their last response. */
  public close(): void {
    // The method of `node:http` also destroys connections whose response was handed over, but is not sent.
    TcpServer.prototype.close.call(this.server);
    this.connections.end();
  }

  /** Resolves when all connections have ended. */
  public waitEnded(): Promise<void> {
    return this.connections.waitEnded();
  }

  /** Closes all connections immediately, with the requests on them. */
  public stop(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private dispatch(req: IncomingMessage, res: ServerResponse): void {
    if (!this.connections.open(req.socket, res)) {
      req.resume();
      return;
    }
    if (req.headers['amr-hop'] !== undefined) this.postToHop({ type: 'request', req, res });
    else if (req.url?.startsWith('/v1/-/') === true) this.dispatchInternal(req, res);
    else this.postToEntry({ type: 'request', req, res });
  }

  private dispatchInternal(req: IncomingMessage, res: ServerResponse): void {
    if (req.url === '/v1/-/ready') {
      res.end('{"ready":true}');
      return;
    }
    const id = RECEIPT_PATTERN.exec(req.url ?? '')?.[1];
    const length = Number(req.headers['content-length'] ?? '0');
    if (id === undefined || req.method !== 'POST' || length > MAX_RECEIPT_BYTES || length === 0) {
      res.setHeader('connection', 'close');
      writeRefusal(res, { code: 'badReceipt', step: 'receipt', peer: 'caller', ran: 'not run', status: 400 });
      return;
    }
    readRequestBody(req, MAX_RECEIPT_BYTES, (body) =>
      parseReceipt(body).caseOf({
        Left: (fields) => writeRefusal(res, fields),
        Right: (bytes) => {
          const team = String(req.headers['amr-team'] ?? '');
          this.postToReceipts({ type: 'confirm', id, team, bytes, res });
        },
      }),
    );
  }

  /**
   * Refuses a request that cannot be parsed, for example one with contradictory lengths, and ends its connection. Requests
   * before it are answered instead.
   */
  private rejectMalformed(err: NodeJS.ErrnoException, socket: Socket): void {
    this.logger.log('badSyntax', { step: 'parse', peer: socket.remoteAddress ?? '', code: err.code ?? '' });
    if (!socket.writable || !this.connections.finish(socket)) return;
    const status =
      err.code === 'HPE_HEADER_OVERFLOW' ? '431 Request Header Fields Too Large' : '400 Bad Request';
    const body = '{"error":"badSyntax","ran":"not run","step":"parse","peer":"caller"}';
    socket.write(
      `HTTP/1.1 ${status}\r\nconnection: close\r\ncontent-type: application/json\r\namr-error: badSyntax\r\n` +
        `content-length: ${body.length}\r\n\r\n${body}`,
    );
    this.connections.endOne(socket);
  }
}
