import { Pool } from 'undici';
import type { Member } from '#assignment/Member.js';
import type { Clock } from '#core/Clock.js';
import { Logger } from '#core/Logger.js';
import type { RouterErrorFields } from '#core/RouterErrorFields.js';
import { Task } from '#core/Task.js';
import { ResponseHandler } from '#proxy/ResponseHandler.js';
import { createHopHeaders } from '#proxy/CreateHopHeaders.js';
import { formatHopFields } from '#proxy/FormatHopFields.js';
import type { ForwardMessage } from '#proxy/ForwardMessage.js';
import type { HopSigner } from '#proxy/HopSigner.js';
import type { RoutedRequest } from '#proxy/RoutedRequest.js';
import { parseRefusal } from '#proxy/ParseRefusal.js';
import { InFlightRequests } from '#proxy/InFlightRequests.js';
import { selectResponseHeaders } from '#proxy/SelectResponseHeaders.js';

/** Bounds the sockets between two daemons; each forwarded request occupies one until its response ends. */
const CONNECTIONS_PER_PEER = 64;
const CONNECT_TIMEOUT_MS = 500;
const MAX_REFUSAL_BYTES = 65_536;

/** Owns the connections to other daemons and forwards requests to them, over one hop at most. */
export class ForwardTask extends Task<ForwardMessage> {
  private readonly logger = new Logger('forward');
  /** Connection pools of other daemons, by the URL of their caller ports. */
  private readonly pools = new Map<string, Pool>();
  private readonly inFlight: InFlightRequests;

  public constructor(
    private readonly serverId: string,
    private readonly clock: Clock,
    private readonly signer: HopSigner,
  ) {
    super();
    this.inFlight = new InFlightRequests(clock);
  }

  public override stop(): void {
    super.stop();
    for (const pool of this.pools.values()) void pool.destroy();
    this.pools.clear();
  }

  protected override receive(message: ForwardMessage): void {
    switch (message.type) {
      case 'forward':
        this.forward(message.member, message.request);
        break;
      case 'cancel':
        this.inFlight.cancel(message.orderId);
        break;
      case 'ended':
        this.inFlight.end(message.orderId);
        break;
      case 'members':
        this.closeUnusedPools(message.members);
        break;
    }
  }

  private forward(member: Member, request: RoutedRequest): void {
    const nowMs = this.clock.monotonicMs();
    const remainingMs = Math.floor(request.deadlineAtMs - nowMs);
    if (remainingMs <= 0) {
      request.emit({
        type: 'refused',
        fields: createFault('deadlineExceeded', member.serverId, 'not run', 504),
      });
      return;
    }
    const head = { ...request.head, deadlineMs: remainingMs };
    const handler = this.createHandler(member, request);
    this.inFlight.add(request.orderId, handler, remainingMs);
    const signature = this.signer.sign(formatHopFields(this.serverId, member.serverId, head));
    const isBuffer = Buffer.isBuffer(request.body);
    this.findPool(member).dispatch(
      {
        path: `/v1/${head.service}${head.path}`,
        method: head.method,
        headers: {
          ...createHopHeaders(this.serverId, head),
          'amr-hop': signature,
          ...(!isBuffer && head.contentLength >= 0 ? { 'content-length': String(head.contentLength) } : {}),
        },
        body: Buffer.isBuffer(request.body) && request.body.length === 0 ? null : request.body,
      },
      handler,
    );
  }

  private createHandler(member: Member, request: RoutedRequest): ResponseHandler {
    let refusal: Buffer | undefined;
    let refusalStatus = 0;
    return new ResponseHandler({
      onHead: (status, headers, flow) => {
        if (headers['amr-error'] !== undefined) {
          refusal = Buffer.alloc(0);
          refusalStatus = status;
          return;
        }
        const text = (name: string): string => String(headers[name] ?? '');
        const head = {
          status,
          headers: selectResponseHeaders(headers),
          serverId: text('amr-server'),
          owner: text('amr-owner'),
          epoch: text('amr-epoch'),
        };
        request.emit({ type: 'head', head, flow });
      },
      onData: (chunk) => {
        if (refusal === undefined) request.emit({ type: 'data', chunk });
        else if (refusal.length < MAX_REFUSAL_BYTES) refusal = Buffer.concat([refusal, chunk]);
      },
      onEnd: () => {
        this.post({ type: 'ended', orderId: request.orderId });
        if (refusal === undefined) {
          request.emit({ type: 'end' });
          return;
        }
        const fields = parseRefusal(refusal.toString(), member.serverId, refusalStatus);
        request.emit({ type: fields.ran === 'not run' ? 'refused' : 'broken', fields });
      },
      onError: (err, sent, cancelled) => {
        this.post({ type: 'ended', orderId: request.orderId });
        const code = cancelled ? 'deadlineExceeded' : sent ? 'peerLost' : 'peerUnreachable';
        const fields = createFault(
          code,
          member.serverId,
          sent ? 'unknown' : 'not run',
          cancelled ? 504 : 502,
        );
        this.logger.log('forwardFailed', {
          step: 'forward',
          peer: member.serverId,
          order: request.orderId,
          code,
          error: err.message,
        });
        request.emit({ type: sent ? 'broken' : 'refused', fields });
      },
    });
  }

  private findPool(member: Member): Pool {
    const address = `http://${member.host}:${member.callerPort}`;
    const existing = this.pools.get(address);
    if (existing !== undefined) return existing;
    const pool = new Pool(address, {
      connections: CONNECTIONS_PER_PEER,
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: { timeout: CONNECT_TIMEOUT_MS },
    });
    this.pools.set(address, pool);
    return pool;
  }

  private closeUnusedPools(members: readonly Member[]): void {
    const used = new Set(members.map((member) => `http://${member.host}:${member.callerPort}`));
    for (const [address, pool] of this.pools) {
      if (used.has(address)) continue;
      this.pools.delete(address);
      void pool.close();
    }
  }
}

function createFault(
  code: string,
  peer: string,
  ran: RouterErrorFields['ran'],
  status: number,
): RouterErrorFields {
  return { code, step: 'forward', peer, ran, status };
}
