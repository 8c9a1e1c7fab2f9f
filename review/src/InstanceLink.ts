import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { request } from 'undici';
import type { BackendEndpoints } from '#fixtures/BackendEndpoints.js';
import { formatAddress } from '#fixtures/FormatAddress.js';
import { TcpRelay } from '#fixtures/TcpRelay.js';
import type { Address } from '#mesh/Address.js';
import { listenAt } from '#mesh/ListenAt.js';
import { readRequestBody } from '#proxy/ReadRequestBody.js';

const MAX_BODY_BYTES = 1_048_576;

/** An instance gives up a check-in after this time. */
const CHECK_IN_TIMEOUT_MS = 1_000;

const UNAVAILABLE = 503;

/**
 * Link between an instance and the daemon beside it, in both directions: requests to the instance, and its check-ins. While
 * it is cut, connections are refused in both directions, and those that were open are reset.
 */
export class InstanceLink {
  /** What the instance is started with: it checks in through this link. */
  public readonly endpoints: BackendEndpoints;
  private readonly checkIns: Address;
  private readonly front: Address;
  private readonly relay: TcpRelay;
  private server: Server | undefined;

  /** `front` and `checkIns` are free addresses: those of the instance and of the daemon as the other one sees them. */
  public constructor(endpoints: BackendEndpoints, front: Address, checkIns: Address) {
    this.checkIns = endpoints.checkIns;
    this.front = front;
    this.endpoints = { ...endpoints, checkIns };
    this.relay = new TcpRelay(front, endpoints.backend);
  }

  public async open(): Promise<void> {
    await this.relay.open();
    const server = createServer((req, res) =>
      readRequestBody(req, MAX_BODY_BYTES, (body) => void this.forward(req, res, body)),
    );
    this.server = server;
    await listenAt(server, this.endpoints.checkIns);
  }

  /** Refuses connections until the link is opened again. */
  public cut(): void {
    this.relay.close();
    this.relay.post({ type: 'reset' });
    this.server?.close();
    this.server?.closeAllConnections();
    this.server = undefined;
  }

  public stop(): void {
    this.cut();
    this.relay.stop();
  }

  /** Passes a check-in on, with the address at which the daemon reaches the instance. */
  private async forward(req: IncomingMessage, res: ServerResponse, body: Buffer): Promise<void> {
    const value = JSON.parse(body.toString()) as object;
    const sent = 'address' in value ? { ...value, address: formatAddress(this.front) } : value;
    try {
      const reply = await request(`http://${formatAddress(this.checkIns)}${req.url ?? ''}`, {
        method: 'POST',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify(sent),
        signal: AbortSignal.timeout(CHECK_IN_TIMEOUT_MS),
      });
      const text = await reply.body.text();
      res.writeHead(reply.statusCode, { 'content-type': 'application/json' });
      res.end(text);
    } catch {
      res.writeHead(UNAVAILABLE);
      res.end();
    }
  }
}
