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

/** A backend server that has not announced itself for this long is treated as gone. */
const ANNOUNCEMENT_TIMEOUT_MS = 3000;
const TICK_MS = 500;
/** A non-repeatable order may still be answered this long after its deadline; the answer serves repeats of its id. */
const LATE_ANSWER_MS = 1000;
const ANNOUNCEMENT_MAX_BYTES = 4096;
const REFUSAL_CODES: Readonly<Record<string, BackendOutcome['kind']>> = {
  shed: 'shed',
  leaving: 'shed',
  expired: 'expired',
  stale: 'stale',
};

/** Owns the connections to the backend server beside this daemon and the port on which it announces itself. */
export class BackendTask extends TickingTask<BackendMessage> {
  private readonly chart = compileBackendChart();
  private readonly logger = new Logger('backend');
  private readonly running: InFlightRequests;
  private readonly server: Server;
  private snapshot: ChartSnapshot<BackendChartContext> = {
    value: 'absent',
    context: { facts: undefined, heardAtMs: 0 },
  };
  private pool: Pool | undefined;

  public constructor(
    private readonly serverId: string,
    private readonly ownerAddress: () => string,
    clock: Clock,
    private readonly signal: (signal: BackendSignal) => void,
  ) {
    super(clock);
    this.running = new InFlightRequests(clock);
    this.server = createServer((req, res) => this.readAnnouncement(req, res));
  }

  /** Listens for announcements on a loopback port and resolves with the port. */
  public start(port: number): Promise<number> {
    this.scheduleTicks(TICK_MS);
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
        this.run(message.backendOrder);
        break;
      case 'cancel':
        this.running.cancel(message.orderId);
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
        this.running.end(message.orderId);
        break;
      case 'tick':
        this.checkAnnouncement();
        break;
    }
  }

  private checkAnnouncement(): void {
    const silentMs = this.clock.monotonicMs() - this.snapshot.context.heardAtMs;
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
    for (const command of step.commands) this.carryOut(command);
  }

  private carryOut(command: BackendChartCommand): void {
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
        .then((answer) => answer.body.dump())
        .catch(() => undefined);
    }
  }

  /** Finds out whether the backend server is still there after a connection to it broke. */
  private probe(incarnation: string): void {
    const { pool } = this;
    if (pool === undefined || this.snapshot.context.facts?.incarnation !== incarnation) return;
    pool
      .request({ path: '/-/ready', method: 'GET' })
      .then((answer) => answer.body.dump())
      .catch(() => this.post({ type: 'connectionFailed', incarnation }));
  }

  private sendGrant(epoch: number, leaseEndMs: number): void {
    if (this.pool === undefined || this.snapshot.context.facts?.checksToken !== true) return;
    const expiresAtMs = this.toWallMs(leaseEndMs);
    this.pool
      .request({ path: '/-/grant', method: 'PUT', body: JSON.stringify({ epoch, expiresAtMs }) })
      .then((answer) => answer.body.dump())
      .catch((err: unknown) =>
        this.logger.log('grantFailed', { step: 'backend', peer: this.describePeer(), error: String(err) }),
      );
  }

  private run(backendOrder: FencedRequest): void {
    const { order } = backendOrder;
    const { pool } = this;
    const { facts } = this.snapshot.context;
    const nowMs = this.clock.monotonicMs();
    if (pool === undefined || facts === undefined || backendOrder.deadlineAtMs <= nowMs) {
      const code = facts === undefined ? 'backendAbsent' : 'deadlineExceeded';
      this.refuse(order.orderId, code, facts === undefined ? 'unreachable' : 'expired');
      return;
    }
    const handler = this.createHandler(backendOrder, facts, nowMs);
    const graceMs = order.entry.repeatable ? 0 : LATE_ANSWER_MS;
    this.running.add(order.orderId, handler, backendOrder.deadlineAtMs - nowMs + graceMs);
    pool.dispatch(
      {
        path: order.head.path,
        method: order.head.method,
        headers: this.createHeaders(backendOrder),
        body: hasBody(order.head.method, backendOrder.body) ? backendOrder.body : null,
      },
      handler,
    );
  }

  private createHeaders(backendOrder: FencedRequest): Record<string, string> {
    const { head, orderId } = backendOrder.order;
    const headers: Record<string, string> = { ...head.headers };
    headers['amr-order-id'] = orderId;
    headers['amr-deadline-at'] = String(Math.floor(this.toWallMs(backendOrder.deadlineAtMs)));
    headers['amr-team'] = head.team;
    headers['amr-class'] = head.class;
    if (head.key !== '') headers['amr-key'] = head.key;
    if (head.idempotencyKey !== '') headers['idempotency-key'] = head.idempotencyKey;
    if (backendOrder.token > 0) {
      headers['amr-token'] = String(backendOrder.token);
      headers['amr-grant-epoch'] = String(backendOrder.epoch);
    }
    if (!Buffer.isBuffer(backendOrder.body) && head.contentLength >= 0) {
      headers['content-length'] = String(head.contentLength);
    }
    return headers;
  }

  private createHandler(
    backendOrder: FencedRequest,
    facts: BackendFacts,
    startedMs: number,
  ): ResponseHandler {
    const { orderId, entry } = backendOrder.order;
    const { epoch } = { epoch: backendOrder.token > 0 ? String(backendOrder.token) : '' };
    let refusal: string | undefined;
    const handler = new ResponseHandler({
      onHead: (status, headers, flow) => {
        const answered = headers['amr-order-id'];
        if (answered !== undefined && answered !== orderId) {
          handler.abort('answer to another order');
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
            REFUSAL_CODES[refusal] ?? 'shed',
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

  /** Reports the end of a run before its last event, so that the owner task still knows the order. */
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
      if (text.length > ANNOUNCEMENT_MAX_BYTES) req.destroy();
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
