import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { DaemonEndpoints } from '#fixtures/DaemonEndpoints.js';
import { formatAddress } from '#fixtures/FormatAddress.js';
import { postCheckIn } from '#fixtures/PostCheckIn.js';
import { listenAt } from '#mesh/ListenAt.js';

const CHECK_IN_INTERVAL_MS = 870;

const SLOTS = 8;

const BODY = 'served';

/** Reports that a request runs. */
type OnRun = (requestId: string) => void;

/** A backend server that leaves by deregistering first and goes on serving. It checks in until it deregisters. */
export class LeavingInstance {
  private readonly endpoints: DaemonEndpoints;
  private readonly id = 'leaving-1';
  private readonly born = Date.now();
  private readonly server: Server;
  private sequence = 0;
  private timer: NodeJS.Timeout | undefined;

  public constructor(endpoints: DaemonEndpoints, onRun: OnRun) {
    this.endpoints = endpoints;
    this.server = createServer((req, res) => this.serve(req, res, onRun));
  }

  /** Starts serving and checking in. */
  public async start(): Promise<void> {
    await listenAt(this.server, this.endpoints.backend);
    void this.checkIn();
  }

  /** Returns the body of a check-in that is sent now. */
  public createCheckIn(): unknown {
    this.sequence += 1;
    return {
      service: this.endpoints.service,
      address: formatAddress(this.endpoints.backend),
      zone: 'zone-1',
      version: 'v1',
      slots: SLOTS,
      state: 'ready',
      cold_left_ms: 0,
      sequence: this.sequence,
      born: this.born,
    };
  }

  /** Delivers a check-in to the daemon; returns whether it was acknowledged. */
  public async deliver(checkIn: unknown): Promise<boolean> {
    const { checkIns } = this.endpoints;
    return (await postCheckIn(checkIns, 'instances.heartbeat', this.id, checkIn)) !== undefined;
  }

  /** Ends the check-ins and deregisters; returns whether that was acknowledged. */
  public async deregister(): Promise<boolean> {
    clearTimeout(this.timer);
    const { checkIns } = this.endpoints;
    const reply = await postCheckIn(checkIns, 'instances.deregister', this.id, { born: this.born });
    return reply !== undefined;
  }

  public stop(): void {
    clearTimeout(this.timer);
    this.server.close();
    this.server.closeAllConnections();
  }

  private async checkIn(): Promise<void> {
    this.timer = setTimeout(() => void this.checkIn(), CHECK_IN_INTERVAL_MS);
    await this.deliver(this.createCheckIn());
  }

  private serve(req: IncomingMessage, res: ServerResponse, onRun: OnRun): void {
    const id = req.headers['x-request-id']?.toString() ?? '';
    const expected = req.headers['x-expected-instance']?.toString() ?? this.id;
    req.resume();
    if (expected !== this.id) {
      res.writeHead(421, { 'Content-Length': '0', 'X-Request-Id': id, 'X-Not-Executed': '1' }).end();
      return;
    }
    onRun(id);
    const headers = {
      'Content-Length': String(BODY.length),
      'X-Request-Id': id,
      'X-Response-Signature': `200.${BODY}`,
    };
    res.writeHead(200, headers).end(BODY);
  }
}
