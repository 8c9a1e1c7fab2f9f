import { createHash, randomBytes } from 'node:crypto';
import { appendFileSync } from 'node:fs';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { request } from 'undici';
import { RandomSource } from '#core/RandomSource.js';
import type { StandinBackendServerOptions } from '#standin/StandinBackendServerOptions.js';
import { createResponseBody } from '#standin/CreateResponseBody.js';
import type { RunRecord } from '#standin/RunRecord.js';

const ANNOUNCE_INTERVAL_MS = 500;
const DEFAULT_RESPONSE_BYTES = 256;
/** A request takes this many times as long on a cold backend server as on a warm one. */
const COLD_FACTOR = 3;

interface Grant {
  readonly epoch: number;
  readonly expiresAtMs: number;
}

/** Stand-in for a backend server: slots, cold start, shedding, drain, deadlines, grants and a delayed load report. */
export class StandinBackendServer {
  private readonly incarnation = randomBytes(8).toString('hex');
  private readonly random: RandomSource;
  private readonly server: Server;
  private readonly startedAtMs = Date.now();
  private grant: Grant = { epoch: 0, expiresAtMs: 0 };
  private inFlight = 0;
  private reportedLoad = 0;
  private slowFactor = 1;
  private leaving = false;
  private serverId = '';
  private overloads = 0;
  private runs = 0;
  private port = 0;
  private timer: NodeJS.Timeout | undefined;

  public constructor(private readonly options: StandinBackendServerOptions) {
    this.random = new RandomSource(options.seed);
    this.server = createServer((req, res) => void this.handle(req, res));
    this.server.maxConnections = options.connections;
    this.server.keepAliveTimeout = 0;
  }

  /** Listens on a loopback port chosen by the system and announces itself to the daemon until stopped. */
  public async start(): Promise<number> {
    await new Promise<void>((resolve) => this.server.listen(0, '127.0.0.1', resolve));
    const address = this.server.address();
    this.port = typeof address === 'object' && address !== null ? address.port : 0;
    this.timer = setInterval(() => void this.announce(), ANNOUNCE_INTERVAL_MS);
    await this.announce();
    return this.port;
  }

  /** Stops immediately like a crash: open connections are closed. */
  public stop(): void {
    clearInterval(this.timer);
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Announces to the daemon that the backend server is leaving. */
  public async leave(): Promise<void> {
    this.leaving = true;
    await this.announce();
  }

  /** Returns how many requests started while the backend server already ran as many as it has capacity for. */
  public report(): { readonly overloads: number } {
    return { overloads: this.overloads };
  }

  private async announce(): Promise<void> {
    const load = this.inFlight;
    setTimeout(() => (this.reportedLoad = load), this.options.reportLagMs);
    const announcement = {
      host: '127.0.0.1',
      port: this.port,
      service: this.options.service,
      slots: this.options.slots,
      connections: this.options.connections,
      checksToken: this.options.checksToken,
      incarnation: this.incarnation,
      leaving: this.leaving,
      reportedLoad: this.reportedLoad,
    };
    try {
      const response = await request(this.options.announceUrl, {
        method: 'POST',
        body: JSON.stringify(announcement),
      });
      const reply = (await response.body.json()) as { readonly serverId?: string };
      this.serverId = reply.serverId ?? this.serverId;
    } catch {
      // The daemon may be restarting; the next announcement follows shortly.
    }
  }

  private async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    try {
      const body = await readBody(req);
      if (req.url?.startsWith('/-/') === true) this.handleControl(req, res, body);
      else await this.handleRequest(req, res, body);
    } catch {
      // The request is not run if its body is cut off.
      res.destroy();
    }
  }

  private handleControl(req: IncomingMessage, res: ServerResponse, body: Buffer): void {
    switch (req.url) {
      case '/-/grant':
        this.grant = JSON.parse(body.toString()) as Grant;
        break;
      case '/-/slow':
        this.slowFactor = Number(body.toString());
        break;
      case '/-/leave':
        void this.leave();
        break;
      case '/-/report':
        res.end(JSON.stringify(this.report()));
        return;
      default:
        break;
    }
    res.end('{}');
  }

  private async handleRequest(req: IncomingMessage, res: ServerResponse, body: Buffer): Promise<void> {
    const orderId = req.headers['amr-order-id'];
    if (orderId !== undefined) res.setHeader('amr-order-id', orderId);
    const refusal = this.findRefusal(req);
    if (refusal !== undefined) {
      res.writeHead(503, { 'amr-refused': refusal }).end();
      return;
    }
    if (req.url?.includes('crash') === true) process.exit(70);
    this.inFlight += 1;
    if (this.inFlight > this.capacity()) this.overloads += 1;
    this.runs += 1;
    const record = this.createRecord(req);
    this.writeRecord(record);
    await new Promise((resolve) => setTimeout(resolve, this.pickServiceMs()));
    this.inFlight -= 1;
    this.writeRecord({ ...record, endMs: Date.now() });
    this.sendResponse(req, res, body);
  }

  private findRefusal(req: IncomingMessage): string | undefined {
    const nowMs = Date.now();
    const deadlineAtMs = Number(req.headers['amr-deadline-at'] ?? Number.MAX_SAFE_INTEGER);
    if (nowMs >= deadlineAtMs) return 'expired';
    if (this.options.checksToken && req.headers['amr-token'] !== undefined) {
      const epoch = Number(req.headers['amr-grant-epoch']);
      if (epoch !== this.grant.epoch || nowMs >= this.grant.expiresAtMs) return 'stale';
    }
    if (this.inFlight >= this.options.slots) return 'shed';
    return undefined;
  }

  private createRecord(req: IncomingMessage): RunRecord {
    const readHeader = (name: string): string => String(req.headers[name] ?? '');
    return {
      // A request that arrives twice must be recorded as two runs.
      orderId: `${readHeader('amr-order-id')}/${this.incarnation}/${this.runs}`,
      requestId: /[?&]rid=([A-Za-z0-9_.-]+)/.exec(req.url ?? '')?.[1] ?? '',
      serverId: this.serverId,
      service: this.options.service,
      team: readHeader('amr-team'),
      class: readHeader('amr-class'),
      key: readHeader('amr-key'),
      id: readHeader('idempotency-key'),
      token: Number(readHeader('amr-token') || '0'),
      startMs: Date.now(),
      endMs: 0,
    };
  }

  private writeRecord(record: RunRecord): void {
    if (this.options.recordFile !== '')
      appendFileSync(this.options.recordFile, `${JSON.stringify(record)}\n`);
  }

  /** Number of requests that can run at once; grows from one to all slots during the cold start. */
  private capacity(): number {
    const warmUpFraction = this.warmUpFraction();
    return Math.max(1, Math.floor(this.options.slots * warmUpFraction));
  }

  private warmUpFraction(): number {
    if (this.options.coldStartMs === 0) return 1;
    return Math.min(1, (Date.now() - this.startedAtMs) / this.options.coldStartMs);
  }

  private pickServiceMs(): number {
    const coldFactor = 1 + (COLD_FACTOR - 1) * (1 - this.warmUpFraction());
    const jitter = 0.5 + this.random.fraction();
    return this.options.serviceMs * jitter * coldFactor * this.slowFactor;
  }

  private sendResponse(req: IncomingMessage, res: ServerResponse, body: Buffer): void {
    const readHeader = (name: string): string => String(req.headers[name] ?? '');
    const bytes = Number(/[?&]bytes=([0-9]{1,8})/.exec(req.url ?? '')?.[1] ?? DEFAULT_RESPONSE_BYTES);
    const bodyHash = createHash('sha256').update(body).digest('hex');
    const parts = [
      this.options.service,
      req.url ?? '',
      readHeader('amr-team'),
      readHeader('amr-class'),
      readHeader('amr-key'),
      readHeader('idempotency-key'),
      bodyHash,
    ];
    const response = createResponseBody(parts, bytes);
    res.writeHead(200, { 'content-type': 'application/octet-stream', 'content-length': response.length });
    res.end(response);
  }
}

async function readBody(req: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = []; // eslint-disable-line no-restricted-syntax -- local accumulator
  for await (const chunk of req) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks);
}
