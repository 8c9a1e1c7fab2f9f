import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { buffer } from 'node:stream/consumers';
import { request } from 'undici';

const ANNOUNCE_EVERY_MS = 500;

interface Run {
  readonly req: IncomingMessage;
  readonly body: string;
  readonly res: ServerResponse;
}

/** Backend server for tests: records the requests that it runs, and responds as the test specifies. */
export class FakeBackend {
  public readonly runs: Run[] = [];
  /** Responds to a request; by default at once, with the body of the request. */
  public respond: (run: Run) => void = ({ res, body }) => res.end(`done ${body}`);
  private readonly server: Server;
  private timer: NodeJS.Timeout | undefined;
  private incarnation = 1;

  public constructor(
    private readonly announceUrl: string,
    private readonly checksToken: boolean,
  ) {
    this.server = createServer((req, res) => void this.handle(req, res));
  }

  /** Listens on a port chosen by the operating system, and announces itself until it is stopped. */
  public async start(): Promise<void> {
    await new Promise<void>((resolve) => this.server.listen(0, '127.0.0.1', resolve));
    await this.announce();
    this.timer = setInterval(() => void this.announce().catch(() => undefined), ANNOUNCE_EVERY_MS);
  }

  /** Breaks all connections, as a crash of the process does. */
  public crash(): void {
    this.server.closeAllConnections();
  }

  /** Announces itself with a new incarnation, as after a restart. */
  public async comeBack(): Promise<void> {
    this.incarnation += 1;
    await this.announce();
  }

  public stop(): void {
    clearInterval(this.timer);
    this.server.close();
    this.server.closeAllConnections();
  }

  private async announce(): Promise<void> {
    const { port } = this.server.address() as AddressInfo;
    const facts = {
      host: '127.0.0.1',
      port,
      service: 'badges',
      slots: 4,
      connections: 8,
      checksToken: this.checksToken,
      incarnation: `p${this.incarnation}`,
      leaving: false,
      reportedLoad: 0,
    };
    const response = await request(this.announceUrl, { method: 'POST', body: JSON.stringify(facts) });
    await response.body.dump();
  }

  private async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    // A request whose body is truncated does not run.
    const body = await buffer(req).catch(() => undefined);
    if (body === undefined) return;
    if (req.url?.startsWith('/-/') === true) {
      res.end('{}');
      return;
    }
    const run = { req, res, body: body.toString() };
    this.runs.push(run);
    this.respond(run);
  }
}
