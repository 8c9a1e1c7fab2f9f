import { text } from 'node:stream/consumers';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { StoreFaults } from '#standin/StoreFaults.js';
import type { StoreStats } from '#standin/StoreStats.js';

interface StoredObject {
  readonly version: number;
  readonly text: string;
}

interface Watch {
  readonly name: string;
  readonly afterVersion: number;
  readonly res: ServerResponse;
  readonly timer: NodeJS.Timeout;
}

const MAX_VALUE_BYTES = 1_000_000;
const NO_FAULTS: StoreFaults = { down: false, delayMs: 0, loseReplies: 0 };

/**
 * In-memory stand-in for the platform's object store.
 * `GET /objects/{name}` (with `?watch=version&timeoutMs=` as long poll), `PUT /objects/{name}` with `If-Match` or
 * `If-None-Match: *`, `POST /faults`, `GET /stats`.
 */
export class ObjectStoreServer {
  private readonly server: Server;
  private objects: ReadonlyMap<string, StoredObject> = new Map();
  private watches: readonly Watch[] = [];
  private faults: StoreFaults = NO_FAULTS;
  private stats: StoreStats = { reads: 0, writes: 0, conflicts: 0, watches: 0 };

  public constructor() {
    this.server = createServer((req, res) => void this.handle(req, res));
  }

  /** Listens on `host` and resolves with the port; port 0 lets the system choose. */
  public start(port = 0, host = '127.0.0.1'): Promise<number> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, () => resolve((this.server.address() as AddressInfo).port));
    });
  }

  /** Closes the port and all connections. */
  public stop(): Promise<void> {
    this.closeWatches();
    this.server.closeAllConnections();
    return new Promise((resolve) => this.server.close(() => resolve()));
  }

  /** Sets the given faults; the others stay as they are. */
  public setFaults(faults: Partial<StoreFaults>): void {
    this.faults = { ...this.faults, ...faults };
    if (this.faults.down) this.closeWatches();
  }

  /** Returns the counters of received calls. */
  public readStats(): StoreStats {
    return this.stats;
  }

  private async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const url = new URL(req.url ?? '/', 'http://store');
    const body = await text(req);
    if (url.pathname === '/faults') this.handleFaults(body, res);
    else if (url.pathname === '/stats') res.end(JSON.stringify(this.stats));
    else await this.handleObject(url, body, req, res);
  }

  private async handleObject(
    url: URL,
    body: string,
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    if (this.faults.delayMs > 0) await new Promise((resolve) => setTimeout(resolve, this.faults.delayMs));
    if (this.faults.down) {
      req.socket.destroy();
      return;
    }
    const name = decodeURIComponent(url.pathname.replace(/^\/objects\//, ''));
    if (req.method === 'PUT') this.handlePut(name, body, req, res);
    else if (url.searchParams.has('watch')) this.handleWatch(name, url.searchParams, res);
    else this.handleGet(name, res);
  }

  private handleFaults(body: string, res: ServerResponse): void {
    this.setFaults(JSON.parse(body) as Partial<StoreFaults>);
    res.end(JSON.stringify(this.faults));
  }

  private handleGet(name: string, res: ServerResponse): void {
    this.stats = { ...this.stats, reads: this.stats.reads + 1 };
    sendObject(res, 200, this.objects.get(name));
  }

  private handlePut(name: string, body: string, req: IncomingMessage, res: ServerResponse): void {
    this.stats = { ...this.stats, writes: this.stats.writes + 1 };
    const current = this.objects.get(name);
    const matches =
      req.headers['if-none-match'] === '*'
        ? current === undefined
        : current !== undefined && req.headers['if-match'] === formatEtag(current.version);
    if (!matches) {
      this.stats = { ...this.stats, conflicts: this.stats.conflicts + 1 };
      sendObject(res, 412, current);
      return;
    }
    if (body.length > MAX_VALUE_BYTES) {
      res.writeHead(413).end();
      return;
    }
    const next: StoredObject = { version: (current?.version ?? 0) + 1, text: body };
    this.objects = new Map([...this.objects, [name, next]]);
    this.notifyWatches(name, next);
    if (this.faults.loseReplies > 0) {
      this.faults = { ...this.faults, loseReplies: this.faults.loseReplies - 1 };
      req.socket.destroy();
      return;
    }
    res.writeHead(200, { etag: formatEtag(next.version) }).end();
  }

  private handleWatch(name: string, params: URLSearchParams, res: ServerResponse): void {
    this.stats = { ...this.stats, watches: this.stats.watches + 1 };
    const afterVersion = Number(params.get('watch'));
    const current = this.objects.get(name);
    if (current !== undefined && current.version > afterVersion) {
      sendObject(res, 200, current);
      return;
    }
    const timer = setTimeout(() => this.expireWatch(watch), Number(params.get('timeoutMs') ?? 0));
    const watch: Watch = { name, afterVersion, res, timer };
    this.watches = [...this.watches, watch];
    res.once('close', () => this.removeWatch(watch));
  }

  private notifyWatches(name: string, object: StoredObject): void {
    for (const watch of this.watches) {
      if (watch.name !== name || watch.afterVersion >= object.version) continue;
      this.removeWatch(watch);
      sendObject(watch.res, 200, object);
    }
  }

  private expireWatch(watch: Watch): void {
    this.removeWatch(watch);
    watch.res.writeHead(304).end();
  }

  private removeWatch(watch: Watch): void {
    clearTimeout(watch.timer);
    this.watches = this.watches.filter((other) => other !== watch);
  }

  private closeWatches(): void {
    for (const watch of this.watches) {
      this.removeWatch(watch);
      watch.res.socket?.destroy();
    }
  }
}

function sendObject(res: ServerResponse, status: number, object: StoredObject | undefined): void {
  if (object === undefined) {
    res.writeHead(status === 200 ? 404 : status).end();
    return;
  }
  const headers = { etag: formatEtag(object.version), 'content-type': 'application/json' };
  res.writeHead(status, headers).end(object.text);
}

function formatEtag(version: number): string {
  return `"${version}"`;
}
