import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { Logger } from '#core/Logger.js';
import type { EntryMessage } from '#proxy/EntryMessage.js';
import type { HopMessage } from '#proxy/HopMessage.js';
import { parseReceipt } from '#proxy/ParseReceipt.js';
import type { ReceiptMessage } from '#proxy/ReceiptMessage.js';
import { readRequestBody } from '#proxy/ReadRequestBody.js';
import { writeRefusal } from '#proxy/WriteRefusal.js';

const MAX_HEADER_BYTES = 16_384;
const HEADERS_TIMEOUT_MS = 10_000;
const REQUEST_TIMEOUT_MS = 60_000;
const KEEP_ALIVE_MS = 75_000;
const RECEIPT_MAX_BYTES = 1024;
const RECEIPT_PATTERN = /^\/v1\/-\/receipts\/([A-Za-z0-9._-]{1,128})$/;

/** Owns the port for callers and for orders of other daemons, and passes each request to the task that serves it. */
export class CallerPort {
  private readonly logger = new Logger('caller');
  private readonly server: Server;
  private leaving = false;

  public constructor(
    private readonly postToEntry: (message: EntryMessage) => void,
    private readonly postToHop: (message: HopMessage) => void,
    private readonly postToReceipts: (message: ReceiptMessage) => void,
  ) {
    this.server = createServer(
      {
        maxHeaderSize: MAX_HEADER_BYTES,
        headersTimeout: HEADERS_TIMEOUT_MS,
        requestTimeout: REQUEST_TIMEOUT_MS,
        keepAliveTimeout: KEEP_ALIVE_MS,
        insecureHTTPParser: false,
      },
      (req, res) => this.pass(req, res),
    );
    this.server.on('clientError', (err: NodeJS.ErrnoException, socket: Socket) =>
      this.refuseSyntax(err, socket),
    );
  }

  /** Listens and resolves with the port; port 0 lets the system choose. */
  public start(port: number, host: string): Promise<number> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen({ port, host, backlog: 1024 }, () => {
        const address = this.server.address();
        resolve(typeof address === 'object' && address !== null ? address.port : port);
      });
    });
  }

  /** Goes on serving, but ends each connection after its answer, so that few idle ones are left at the close. */
  public announceClose(): void {
    this.leaving = true;
  }

  /** Accepts no new connections; open ones close after their current request. */
  public close(): void {
    this.server.close();
    this.server.closeIdleConnections();
  }

  /** Closes all connections at once. */
  public stop(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private pass(req: IncomingMessage, res: ServerResponse): void {
    if (this.leaving || !this.server.listening) res.shouldKeepAlive = false;
    if (req.headers['amr-hop'] !== undefined) this.postToHop({ type: 'request', req, res });
    else if (req.url?.startsWith('/v1/-/') === true) this.passInternal(req, res);
    else this.postToEntry({ type: 'request', req, res });
  }

  private passInternal(req: IncomingMessage, res: ServerResponse): void {
    if (req.url === '/v1/-/ready') {
      res.end('{"ready":true}');
      return;
    }
    const id = RECEIPT_PATTERN.exec(req.url ?? '')?.[1];
    const length = Number(req.headers['content-length'] ?? '0');
    if (id === undefined || req.method !== 'POST' || length > RECEIPT_MAX_BYTES || length === 0) {
      res.setHeader('connection', 'close');
      writeRefusal(res, { code: 'badReceipt', step: 'receipt', peer: 'caller', ran: 'not run', status: 400 });
      return;
    }
    readRequestBody(req, RECEIPT_MAX_BYTES, (body) =>
      parseReceipt(body).caseOf({
        Left: (fields) => writeRefusal(res, fields),
        Right: (bytes) => {
          const team = String(req.headers['amr-team'] ?? '');
          this.postToReceipts({ type: 'confirm', id, team, bytes, res });
        },
      }),
    );
  }

  /** Requests that cannot be parsed, among them those with contradictory lengths, end the connection. */
  private refuseSyntax(err: NodeJS.ErrnoException, socket: Socket): void {
    this.logger.log('badSyntax', { step: 'parse', peer: socket.remoteAddress ?? '', code: err.code ?? '' });
    if (!socket.writable) return;
    const status =
      err.code === 'HPE_HEADER_OVERFLOW' ? '431 Request Header Fields Too Large' : '400 Bad Request';
    const body = '{"error":"badSyntax","ran":"not run","step":"parse","peer":"caller"}';
    socket.end(
      `HTTP/1.1 ${status}\r\nconnection: close\r\ncontent-type: application/json\r\namr-error: badSyntax\r\n` +
        `content-length: ${body.length}\r\n\r\n${body}`,
    );
  }
}
