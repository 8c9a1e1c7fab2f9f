import { putCell } from '#assignment/PutCell.js';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { Left, Right, type Either } from 'purify-ts';
import { indexCatalogue } from '#catalogue/IndexCatalogue.js';
import type { Clock } from '#core/Clock.js';
import { Logger } from '#core/Logger.js';
import type { RouterErrorFields } from '#core/RouterErrorFields.js';
import { Task } from '#core/Task.js';
import type { CheckedRequest } from '#proxy/CheckedRequest.js';
import { checkRequest } from '#proxy/CheckRequest.js';
import type { EntryIdentity } from '#proxy/EntryIdentity.js';
import { formatHopFields } from '#proxy/FormatHopFields.js';
import type { HopMessage } from '#proxy/HopMessage.js';
import type { HopSigner } from '#proxy/HopSigner.js';
import { limitBody } from '#proxy/LimitBody.js';
import type { RoutedRequestEvent } from '#proxy/RoutedRequestEvent.js';
import type { OwnerMessage } from '#proxy/OwnerMessage.js';
import { parseRequestHead } from '#proxy/ParseRequestHead.js';
import { readRequestBody } from '#proxy/ReadRequestBody.js';
import type { RequestHead } from '#proxy/RequestHead.js';
import type { RoutingView } from '#proxy/RoutingView.js';
import { writeRefusal } from '#proxy/WriteRefusal.js';

const MAX_BUFFERED_BODY_BYTES = 65_536;

/** A forwarded request whose response is not complete. */
interface OpenHop {
  readonly res: ServerResponse;
  readonly pause: (() => void) | undefined;
}

/** The head of a forwarded request whose signature is valid, with the catalogue rules for it. */
interface VerifiedRequest {
  readonly head: RequestHead;
  readonly checked: CheckedRequest;
}

/** Serves requests forwarded by other daemons, after verifying that a daemon of the fleet signed them. */
export class HopTask extends Task<HopMessage> {
  private readonly logger = new Logger('hop');
  private readonly hops = new Map<string, OpenHop>();
  private view: RoutingView = { index: undefined, cells: new Map(), withdrawn: [] };
  private onClosed: (() => void) | undefined;
  private requestCount = 0;

  public constructor(
    private readonly identity: EntryIdentity,
    private readonly clock: Clock,
    private readonly signer: HopSigner,
    private readonly postToOwner: (message: OwnerMessage) => void,
  ) {
    super();
  }

  protected override receive(message: HopMessage): void {
    switch (message.type) {
      case 'catalogue':
        this.view = { ...this.view, index: indexCatalogue(message.catalogue) };
        break;
      case 'cell':
        this.view = { ...this.view, cells: putCell(this.view.cells, message.cell) };
        break;
      case 'request':
        this.acceptRequest(message.req, message.res);
        break;
      case 'order':
        this.handleRequestEvent(message.orderId, message.event);
        break;
      case 'callerGone':
        if (this.hops.has(message.orderId)) this.postToOwner({ type: 'cancel', orderId: message.orderId });
        this.close(message.orderId);
        break;
      case 'close':
        this.onClosed = message.reply;
        this.finishClose();
        break;
    }
  }

  private acceptRequest(req: IncomingMessage, res: ServerResponse): void {
    this.verifyRequest(req).caseOf({
      Left: (fields) => {
        this.logger.log('hopRefused', { step: fields.step, peer: fields.peer, code: fields.code });
        if (!req.complete) res.setHeader('connection', 'close');
        writeRefusal(res, fields);
      },
      Right: ({ head, checked }) => this.open(req, res, head, checked),
    });
  }

  private verifyRequest(req: IncomingMessage): Either<RouterErrorFields, VerifiedRequest> {
    const from = String(req.headers['amr-hop-from'] ?? '');
    const requestId = String(req.headers['amr-request-id'] ?? '');
    const signature = String(req.headers['amr-hop'] ?? '');
    return parseRequestHead(requestId, req.method ?? 'GET', req.url ?? '/', req.headers)
      .chain((head) => {
        const fields = formatHopFields(from, this.identity.serverId, head);
        return this.signer.verify(fields, signature) ? Right(head) : Left(createSignatureFault(from));
      })
      .chain((head) =>
        checkRequest(this.view, head, this.identity.region).map((checked) => ({ head, checked })),
      )
      .mapLeft((fields) => ({ ...fields, peer: fields.peer === '' ? this.identity.serverId : fields.peer }));
  }

  private open(req: IncomingMessage, res: ServerResponse, head: RequestHead, checked: CheckedRequest): void {
    this.requestCount += 1;
    const orderId = `${head.requestId}/${this.requestCount}`;
    this.hops.set(orderId, { res, pause: undefined });
    res.once('close', () => {
      if (!res.writableFinished) this.post({ type: 'callerGone', orderId });
    });
    const deadlineAtMs = this.clock.monotonicMs() + head.deadlineMs;
    const send = (body: Buffer | IncomingMessage): void => {
      const limited = Buffer.isBuffer(body) ? body : limitBody(body, checked.entry.limits.maxBodyBytes);
      const emit = (event: RoutedRequestEvent): void => this.post({ type: 'order', orderId, event });
      const request = { orderId, head, entry: checked.entry, deadlineAtMs, body: limited, emit };
      const { needsOwnership, service } = checked;
      this.postToOwner({ type: 'order', request, needsOwnership, graceMs: service.orderGraceMs });
    };
    if (head.contentLength === 0) send(Buffer.alloc(0));
    else if (head.contentLength > 0 && head.contentLength <= MAX_BUFFERED_BODY_BYTES)
      readRequestBody(req, MAX_BUFFERED_BODY_BYTES, send);
    else send(req);
  }

  private handleRequestEvent(orderId: string, event: RoutedRequestEvent): void {
    const hop = this.hops.get(orderId);
    if (hop === undefined) return;
    const { res } = hop;
    switch (event.type) {
      case 'head': {
        const { status, headers, serverId, owner, epoch } = event.head;
        res.writeHead(status, { ...headers, 'amr-server': serverId, 'amr-owner': owner, 'amr-epoch': epoch });
        res.on('drain', event.flow.resume);
        this.hops.set(orderId, { ...hop, pause: event.flow.pause });
        break;
      }
      case 'data':
        if (!res.write(event.chunk)) hop.pause?.();
        break;
      case 'end':
        res.end();
        this.close(orderId);
        break;
      case 'refused':
      case 'broken':
        writeRefusal(res, event.fields);
        this.close(orderId);
        break;
    }
  }

  private close(orderId: string): void {
    this.hops.delete(orderId);
    this.finishClose();
  }

  private finishClose(): void {
    if (this.hops.size === 0) this.onClosed?.();
  }
}

function createSignatureFault(from: string): RouterErrorFields {
  return { code: 'hopRejected', step: 'forward', peer: from, ran: 'not run', status: 403 };
}
