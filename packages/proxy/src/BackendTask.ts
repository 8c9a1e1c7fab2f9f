import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { Pool } from 'undici';
import { advanceChart } from '#chart/AdvanceChart.js';
import type { ChartSnapshot } from '#chart/ChartSnapshot.js';
import type { Clock } from '#core/Clock.js';
import { Logger } from '#core/Logger.js';
import type { RouterErrorFields } from '#core/RouterErrorFields.js';
import { TickingTask } from '#core/TickingTask.js';
import { ResponseHandler } from '#proxy/ResponseHandler.js';
import type { BackendChartCommand } from '#proxy/BackendChartCommand.js';
import type { BackendChartContext } from '#proxy/BackendChartContext.js';
import type { BackendChartEvent } from '#proxy/BackendChartEvent.js';
import type { BackendFacts } from '#proxy/BackendFacts.js';
import type { BackendMessage } from '#proxy/BackendMessage.js';
import type { FencedRequest } from '#proxy/FencedRequest.js';
import type { BackendOutcome } from '#proxy/BackendOutcome.js';
import type { BackendSignal } from '#proxy/BackendSignal.js';
import { compileBackendChart } from '#proxy/CompileBackendChart.js';
import { createConnector } from '#proxy/CreateConnector.js';
import { parseBackendFacts } from '#proxy/ParseBackendFacts.js';
import { InFlightRequests } from '#proxy/InFlightRequests.js';
import { selectResponseHeaders } from '#proxy/SelectResponseHeaders.js';

/** A backend server that sends no announcement for this long is treated as absent. */
const ANNOUNCEMENT_TIMEOUT_MS = 3000;
const CHECK_INTERVAL_MS = 500;
/**
 * Extra wait for the response to a non-repeatable request after its deadline: it is recorded and replayed to repeats.
 */
const LATE_RESPONSE_GRACE_MS = 1000;
const MAX_ANNOUNCEMENT_BYTES = 4096;
/** Outcome of a request that the backend server refused, by the value of the header `amr-refused`. */
const OUTCOME_BY_REFUSAL: Readonly<Record<string, BackendOutcome['kind']>> = {
  shed: 'shed',
  leaving: 'shed',
  expired: 'expired',
  stale: 'stale',
};

/** Owns the connections to the local backend server and the port that receives its announcements. */
export class BackendTask extends TickingTask<BackendMessage> {
  private readonly chart = compileBackendChart();
  private readonly logger = new Logger('backend');
  private readonly inFlight: InFlightRequests;
  private readonly server: Server;
  private snapshot: ChartSnapshot<BackendChartContext> = {
    value: 'absent',
    context: { facts: undefined, announcedAtMs: 0 },
  };
  private pool: Pool | undefined;

  public constructor(
    private readonly serverId: string,
    private readonly ownerAddress: () => string,
    clock: Clock,
    private readonly signal: (signal: BackendSignal) => void,
  ) {
    super(clock);
    this.inFlight = new InFlightRequests(clock);
    this.server = createServer((req, res) => this.readAnnouncement(req, res));
  }

  /** Listens for announcements on a loopback port and resolves with the port. */
  public start(port: number): Promise<number> {
    this.scheduleTicks(CHECK_INTERVAL_MS);
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, '127.0.0.1', () => {
        const address = this.server.address();
        resolve(typeof address === 'object' && address !== null ? address.port : port);
      });
    });
  }

  public override stop(): void {
    super.stop();
    this.server.close();
    this.server.closeAllConnections();
    void this.pool?.destroy();
  }

  protected override receive(message: BackendMessage): void {
    switch (message.type) {
      case 'run':
        this.run(message.request);
        break;
      case 'cancel':
        this.inFlight.cancel(message.orderId);
        break;
      case 'announced':
        this.advance({ type: 'announced', facts: message.facts, nowMs: this.clock.monotonicMs() });
        break;
      case 'grant':
        this.sendGrant(message.epoch, message.leaseEndMs);
        break;
      case 'probe':
        this.probe(message.incarnation);
        break;
      case 'connectionFailed':
        if (message.incarnation === this.snapshot.context.facts?.incarnation)
          this.advance({ type: 'unreachable' });
        break;
      case 'ended':
        this.inFlight.end(message.orderId);
        break;
      case 'tick':
        this.checkAnnouncement();
        break;
    }
  }

  private checkAnnouncement(): void {
    const silentMs = this.clock.monotonicMs() - this.snapshot.context.announcedAtMs;
    if (silentMs > ANNOUNCEMENT_TIMEOUT_MS) this.advance({ type: 'silent' });
  }

  private advance(event: BackendChartEvent): void {
    const before = this.snapshot.value;
    const step = advanceChart(this.chart, this.snapshot, event);
    this.snapshot = step.snapshot;
    if (before !== step.snapshot.value) {
      this.logger.log('backendState', {
        step: 'backend',
        peer: this.describePeer(),
        from: before,
        to: step.snapshot.value,
      });
    }
    for (const command of step.commands) this.execute(command);
  }

  private execute(command: BackendChartCommand): void {
    switch (command.type) {
      case 'connect':
        this.connect(command.facts);
        break;
      case 'disconnect':
        void this.pool?.destroy();
        this.pool = undefined;
        break;
      case 'publish':
        this.signal({ type: 'backendFacts', facts: command.facts });
        break;
    }
  }

  private connect(facts: BackendFacts): void {
    this.pool = new Pool(`http://${facts.host}:${facts.port}`, {
      connections: facts.connections,
      pipelining: 1,
      keepAliveTimeout: 60_000,
      keepAliveMaxTimeout: 600_000,
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: createConnector({ timeout: 1000 }),
    });
    this.openConnections(this.pool, Math.min(facts.slots, facts.connections));
  }

  /** Opens as many connections as the backend server has slots, so that no request waits for a connection. */
  private openConnections(pool: Pool, count: number): void {
    for (let index = 0; index < count; index += 1) {
      pool
        .request({ path: '/-/ready', method: 'GET' })
        .then((response) => response.body.dump())
        .catch(() => undefined);
    }
  }

  /** Checks whether the backend server still responds after a connection to it broke. */
  private probe(incarnation: string): void {
    const { pool } = this;
    if (pool === undefined || this.snapshot.context.facts?.incarnation !== incarnation) return;
    pool
      .request({ path: '/-/ready', method: 'GET' })
      .then((response) => response.body.dump())
      .catch(() => this.post({ type: 'connectionFailed', incarnation }));
  }

  private sendGrant(epoch: number, leaseEndMs: number): void {
    if (this.pool === undefined || this.snapshot.context.facts?.checksToken !== true) return;
    const expiresAtMs = this.toWallMs(leaseEndMs);
    this.pool
      .request({ path: '/-/grant', method: 'PUT', body: JSON.stringify({ epoch, expiresAtMs }) })
      .then((response) => response.body.dump())
      .catch((err: unknown) =>
        this.logger.log('grantFailed', { step: 'backend', peer: this.describePeer(), error: String(err) }),
      );
  }

  private run(fenced: FencedRequest): void {
    const { request } = fenced;
    const { pool } = this;
    const { facts } = this.snapshot.context;
    const nowMs = this.clock.monotonicMs();
    if (pool === undefined || facts === undefined || fenced.deadlineAtMs <= nowMs) {
      const code = facts === undefined ? 'backendAbsent' : 'deadlineExceeded';
      this.refuse(request.orderId, code, facts === undefined ? 'unreachable' : 'expired');
      return;
    }
    const handler = this.createHandler(fenced, facts, nowMs);
    const graceMs = request.entry.repeatable ? 0 : LATE_RESPONSE_GRACE_MS;
    this.inFlight.add(request.orderId, handler, fenced.deadlineAtMs - nowMs + graceMs);
    pool.dispatch(
      {
        path: request.head.path,
        method: request.head.method,
        headers: this.createHeaders(fenced),
        body: hasBody(request.head.method, fenced.body) ? fenced.body : null,
      },
      handler,
    );
  }

  private createHeaders(fenced: FencedRequest): Record<string, string> {
    const { head, orderId } = fenced.request;
    const headers: Record<string, string> = { ...head.headers };
    headers['amr-order-id'] = orderId;
    headers['amr-deadline-at'] = String(Math.floor(this.toWallMs(fenced.deadlineAtMs)));
    headers['amr-team'] = head.team;
    headers['amr-class'] = head.class;
    if (head.key !== '') headers['amr-key'] = head.key;
    if (head.idempotencyKey !== '') headers['idempotency-key'] = head.idempotencyKey;
    if (fenced.token > 0) {
      headers['amr-token'] = String(fenced.token);
      headers['amr-grant-epoch'] = String(fenced.epoch);
    }
    if (!Buffer.isBuffer(fenced.body) && head.contentLength >= 0) {
      headers['content-length'] = String(head.contentLength);
    }
    return headers;
  }

  private createHandler(fenced: FencedRequest, facts: BackendFacts, startedMs: number): ResponseHandler {
    const { orderId, entry } = fenced.request;
    const { epoch } = { epoch: fenced.token > 0 ? String(fenced.token) : '' };
    let refusal: string | undefined;
    const handler = new ResponseHandler({
      onHead: (status, headers, flow) => {
        const respondedId = headers['amr-order-id'];
        if (respondedId !== undefined && respondedId !== orderId) {
          handler.abort('response to another request');
          return;
        }
        const code = headers['amr-refused'];
        if (typeof code === 'string') {
          refusal = code;
          return;
        }
        const head = {
          status,
          headers: selectResponseHeaders(headers),
          serverId: this.serverId,
          owner: this.ownerAddress(),
          epoch,
        };
        this.signal({ type: 'backendEvent', orderId, event: { type: 'head', head, flow } });
      },
      onData: (chunk) => {
        if (refusal === undefined)
          this.signal({ type: 'backendEvent', orderId, event: { type: 'data', chunk } });
      },
      onEnd: () => {
        if (refusal === undefined) {
          this.finish(orderId, 'answered', startedMs);
          this.signal({ type: 'backendEvent', orderId, event: { type: 'end' } });
        } else {
          this.refuse(
            orderId,
            `backend${refusal.charAt(0).toUpperCase()}${refusal.slice(1)}`,
            OUTCOME_BY_REFUSAL[refusal] ?? 'shed',
          );
        }
      },
      onError: (err, sent, cancelled) => {
        const ran = sent ? 'unknown' : 'not run';
        const code = cancelled ? 'deadlineExceeded' : sent ? 'backendLost' : 'backendUnreachable';
        const fields: RouterErrorFields = {
          code,
          step: 'backend',
          peer: `${facts.host}:${facts.port}`,
          ran,
          status: cancelled ? 504 : 502,
        };
        this.logger.log('orderBroken', {
          step: 'backend',
          peer: fields.peer,
          order: orderId,
          code,
          error: err.message,
          repeatable: entry.repeatable,
        });
        this.finish(orderId, cancelled ? 'cancelled' : sent ? 'lost' : 'unreachable', startedMs);
        this.signal({
          type: 'backendEvent',
          orderId,
          event: sent ? { type: 'broken', fields } : { type: 'refused', fields },
        });
        if (!cancelled) this.post({ type: 'probe', incarnation: facts.incarnation });
      },
    });
    return handler;
  }

  private refuse(orderId: string, code: string, kind: BackendOutcome['kind']): void {
    const fields: RouterErrorFields = {
      code,
      step: 'backend',
      peer: this.describePeer(),
      ran: 'not run',
      status: kind === 'expired' ? 504 : 503,
    };
    this.finish(orderId, kind, this.clock.monotonicMs());
    this.signal({ type: 'backendEvent', orderId, event: { type: 'refused', fields } });
  }

  /**
   * Reports the outcome of a request. Called before its last event is sent, since the owner task forgets the request at
   * that event.
   */
  private finish(orderId: string, kind: BackendOutcome['kind'], startedMs: number): void {
    const serviceMs = this.clock.monotonicMs() - startedMs;
    this.signal({ type: 'backendDone', orderId, outcome: { kind, serviceMs } });
    this.post({ type: 'ended', orderId });
  }

  private readAnnouncement(req: IncomingMessage, res: ServerResponse): void {
    let text = '';
    req.setEncoding('utf8');
    req.on('data', (chunk: string) => {
      text += chunk;
      if (text.length > MAX_ANNOUNCEMENT_BYTES) req.destroy();
    });
    req.on('end', () => {
      parseBackendFacts(text).caseOf({
        Left: (fault) => {
          this.logger.log('announcementRefused', {
            step: 'backend',
            peer: req.socket.remoteAddress ?? '',
            fault,
          });
          res.writeHead(400).end(JSON.stringify({ error: fault }));
        },
        Right: (facts) => {
          this.post({ type: 'announced', facts });
          res.writeHead(200).end(JSON.stringify({ serverId: this.serverId }));
        },
      });
    });
  }

  private toWallMs(monotonicMs: number): number {
    return this.clock.wallMs() + (monotonicMs - this.clock.monotonicMs());
  }

  private describePeer(): string {
    const { facts } = this.snapshot.context;
    return facts === undefined ? '' : `${facts.host}:${facts.port}`;
  }
}

function hasBody(method: string, body: FencedRequest['body']): boolean {
  if (Buffer.isBuffer(body)) return body.length > 0;
  return method !== 'GET' && method !== 'HEAD';
}
