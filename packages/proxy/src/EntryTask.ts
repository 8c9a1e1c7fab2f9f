import type { IncomingMessage, ServerResponse } from 'node:http';
import { entryKey } from '#admission/EntryKey.js';
import type { QuotaRequest } from '#admission/QuotaRequest.js';
import type { QuotaClient } from '#admission/QuotaClient.js';
import type { QuotaGrant } from '#admission/QuotaGrant.js';
import type { Cell } from '#assignment/Cell.js';
import { findCellIndex } from '#assignment/FindCellIndex.js';
import type { BalancePolicy } from '#balance/BalancePolicy.js';
import type { Clock } from '#core/Clock.js';
import type { RandomSource } from '#core/RandomSource.js';
import type { RouterErrorFields } from '#core/RouterErrorFields.js';
import { scheduleAfterReads } from '#core/ScheduleAfterReads.js';
import { TickingTask } from '#core/TickingTask.js';
import type { DeliveryEvent } from '#delivery/DeliveryEvent.js';
import type { ArrivedRequest } from '#proxy/ArrivedRequest.js';
import { checkRequest } from '#proxy/CheckRequest.js';
import { EntryAdmission } from '#proxy/EntryAdmission.js';
import type { EntryIdentity } from '#proxy/EntryIdentity.js';
import type { EntryLinks } from '#proxy/EntryLinks.js';
import type { EntryListener } from '#proxy/EntryListener.js';
import type { EntryMessage } from '#proxy/EntryMessage.js';
import { computeDeadline } from '#proxy/ComputeDeadline.js';
import { createTimeoutFault } from '#proxy/CreateTimeoutFault.js';
import type { Exchange } from '#proxy/Exchange.js';
import { ExchangeTable } from '#proxy/ExchangeTable.js';
import type { OpenExchange } from '#proxy/OpenExchange.js';
import { RetryPlanner } from '#proxy/RetryPlanner.js';
import type { ExchangeCommand } from '#proxy/ExchangeCommand.js';
import type { ExchangeEvent } from '#proxy/ExchangeEvent.js';
import { findFleetPosition } from '#proxy/FindFleetPosition.js';
import { findQuotaHolder } from '#proxy/FindQuotaHolder.js';
import { isCellOutdated } from '#proxy/IsCellOutdated.js';
import { listEntryKeys } from '#proxy/ListEntryKeys.js';
import { limitBody } from '#proxy/LimitBody.js';
import type { RoutedRequestEvent } from '#proxy/RoutedRequestEvent.js';
import { RequestRouter } from '#proxy/RequestRouter.js';
import { OutcomeCounts } from '#proxy/OutcomeCounts.js';
import { parseRequestHead } from '#proxy/ParseRequestHead.js';
import { readRequestBody } from '#proxy/ReadRequestBody.js';
import { startExchange } from '#proxy/StartExchange.js';
import type { Target } from '#proxy/Target.js';
import { writeResponseHead } from '#proxy/WriteResponseHead.js';
import { writeRefusal } from '#proxy/WriteRefusal.js';

/** Bodies up to this length are held in memory, so that the request can be sent again; longer ones are streamed. */
const MAX_BUFFERED_BODY_BYTES = 65_536;

/** Interval at which due quota requests are sent. */
const QUOTA_REQUEST_INTERVAL_MS = 50;

const NO_SERVERS: ReadonlySet<string> = new Set();

/** Serves callers: checks, admits and routes their requests, retries where that is safe, and tracks delivery. */
export class EntryTask extends TickingTask<EntryMessage> {
  private readonly exchanges = new ExchangeTable();
  private readonly router: RequestRouter;
  private readonly outcomes: OutcomeCounts;
  private readonly admission: EntryAdmission;
  private readonly retries: RetryPlanner;
  private lastRequestNumber = 0;
  private onClosed: (() => void) | undefined;

  public constructor(
    private readonly identity: EntryIdentity,
    clock: Clock,
    random: RandomSource,
    quota: QuotaClient,
    balance: BalancePolicy,
    private readonly links: EntryLinks,
    private readonly listener: EntryListener,
  ) {
    super(clock);
    this.retries = new RetryPlanner(clock, random);
    this.router = new RequestRouter(identity, balance, random);
    this.outcomes = new OutcomeCounts(clock, listener);
    this.admission = new EntryAdmission(
      quota,
      clock,
      (request) => this.sendQuotaRequest(request),
      (requestId) => this.post({ type: 'admissionDue', requestId }),
    );
  }

  /** Starts the timers. */
  public start(): void {
    this.scheduleTicks(QUOTA_REQUEST_INTERVAL_MS);
  }

  public override stop(): void {
    super.stop();
    this.admission.stop();
    this.exchanges.cancelDeadlines();
  }

  protected override receive(message: EntryMessage): void {
    switch (message.type) {
      case 'request':
        this.acceptRequest(message.req, message.res);
        break;
      case 'bodyRead':
        this.acceptBody(message.exchangeId, message.body);
        break;
      case 'order':
        this.handleRequestEvent(message.exchangeId, message.attempt, message.event);
        break;
      case 'exchange':
        this.advance(message.exchangeId, message.event);
        break;
      case 'receiptEnded':
        this.outcomes.countReceipt(message.receipt, message.outcome);
        break;
      case 'catalogue':
        this.router.setCatalogue(message.catalogue);
        this.admission.retain(listEntryKeys(message.catalogue.catalogue));
        break;
      case 'intent':
        this.router.setWithdrawn(message.intent.withdrawals);
        break;
      case 'cell':
        this.applyCell(message.cell);
        break;
      case 'slice':
        this.admission.applyGrant(message.slice);
        break;
      case 'admissionDue':
        this.admission.decideNow(message.requestId);
        break;
      case 'tick':
        this.admission.sendQuotaRequests();
        break;
      case 'counts':
        message.reply(this.outcomes.counts());
        break;
      case 'close':
        this.onClosed = message.reply;
        this.finishClose();
        break;
    }
  }

  private applyCell(cell: Cell): void {
    const members = this.router.setCell(cell);
    this.links.postToForward({ type: 'members', members });
    const { rank, size } = findFleetPosition(this.router.view.cells.values(), this.identity.serverId);
    this.admission.setPosition(rank, size);
  }

  private acceptRequest(req: IncomingMessage, res: ServerResponse): void {
    this.lastRequestNumber += 1;
    const requestId = `${this.identity.serverId}-${this.lastRequestNumber.toString(36)}`;
    const parsed = parseRequestHead(requestId, req.method ?? 'GET', req.url ?? '/', req.headers);
    parsed
      .chain((head) =>
        checkRequest(this.router.view, head, this.identity.region).map((checked) => ({ head, checked })),
      )
      .caseOf({
        Left: (fields) => this.refuse(req, res, fields),
        Right: ({ head, checked }) =>
          this.admit({ req, res, head, checked, startedMs: this.clock.monotonicMs() }),
      });
  }

  private refuse(req: IncomingMessage, res: ServerResponse, fields: RouterErrorFields): void {
    // Without closing the connection, the unread rest of the body would be parsed as its next request.
    if (!req.complete) res.setHeader('connection', 'close');
    writeRefusal(res, { ...fields, peer: fields.peer === '' ? this.identity.serverId : fields.peer });
  }

  private admit(arrived: ArrivedRequest): void {
    const { req, res, head, checked, startedMs } = arrived;
    const { owner, service, class: requestClass, limits } = checked.entry;
    this.outcomes.begin(owner, requestClass);
    this.retries.noteRequest(owner, requestClass, startedMs);
    const key = entryKey(owner, service, requestClass);
    this.admission.admit(head.requestId, key, limits, computeDeadline(head, checked), (result) => {
      if (result.kind === 'admit') this.accept(arrived);
      else {
        this.outcomes.countRefused(checked, result.error.code, startedMs);
        this.refuse(req, res, result.error);
      }
      this.finishClose();
    });
  }

  private accept(arrived: ArrivedRequest): void {
    const { req, res, head, checked, startedMs } = arrived;
    const id = head.requestId;
    const deadlineAtMs = startedMs + computeDeadline(head, checked);
    const remainingMs = deadlineAtMs - this.clock.monotonicMs();
    const cancelDeadline = scheduleAfterReads(this.clock, remainingMs, () =>
      this.post({ type: 'exchange', exchangeId: id, event: { type: 'deadline' } }),
    );
    this.exchanges.add(startExchange({ ...arrived, id, deadlineAtMs, cancelDeadline }));
    if (res.destroyed) {
      // The caller left while the request waited for a quota grant, and the close event has already been emitted.
      this.advance(id, { type: 'callerGone' });
      return;
    }
    res.once('close', () => {
      if (!res.writableFinished)
        this.post({ type: 'exchange', exchangeId: id, event: { type: 'callerGone' } });
    });
    if (head.contentLength === 0) this.acceptBody(id, Buffer.alloc(0));
    else if (head.contentLength > 0 && head.contentLength <= MAX_BUFFERED_BODY_BYTES) {
      readRequestBody(req, MAX_BUFFERED_BODY_BYTES, (body) =>
        this.post({ type: 'bodyRead', exchangeId: id, body }),
      );
    } else this.advance(id, { type: 'accepted' });
  }

  private acceptBody(exchangeId: string, body: Buffer): void {
    this.exchanges.setAttempt(exchangeId, (attempt) => ({ ...attempt, body }));
    this.advance(exchangeId, { type: 'accepted' });
  }

  private advance(exchangeId: string, event: ExchangeEvent): void {
    const step = this.exchanges.advance(exchangeId, event);
    for (const command of step.commands) this.execute(exchangeId, command);
    if (step.isOver) this.close(exchangeId);
  }

  private execute(exchangeId: string, command: ExchangeCommand): void {
    const open = this.exchanges.get(exchangeId);
    if (open === undefined) return;
    const { exchange } = open;
    switch (command.type) {
      case 'dispatch':
        this.dispatch(open, command.attempt);
        break;
      case 'cancelRequest':
        this.cancelRequest(open, command.attempt);
        break;
      case 'scheduleRetry':
        this.clock.schedule(command.delayMs, () =>
          this.post({ type: 'exchange', exchangeId, event: { type: 'retryDue' } }),
        );
        break;
      case 'sendHead':
        this.exchanges.advanceDelivery(exchangeId, { type: 'head' });
        writeResponseHead(exchange, command.head);
        exchange.res.on('drain', command.flow.resume);
        this.exchanges.setAttempt(exchangeId, (attempt) => ({ ...attempt, pause: command.flow.pause }));
        break;
      case 'writeChunk':
        this.exchanges.advanceDelivery(exchangeId, { type: 'chunk', bytes: command.chunk.length });
        this.router.noteBytes(open, command.chunk.length, this.clock.monotonicMs());
        if (!exchange.res.write(command.chunk)) open.attempt.pause?.();
        break;
      case 'endResponse':
        this.endResponse(exchange);
        break;
      case 'noteFlushed':
        this.exchanges.advanceDelivery(exchangeId, { type: 'flushed', nowMs: this.clock.monotonicMs() });
        break;
      case 'sendRefusal':
        this.fail(exchange, command.fields, { type: 'refused' });
        break;
      case 'sendFailure':
      case 'abortResponse':
        this.fail(exchange, command.fields, { type: 'backendLost' });
        break;
      case 'sendTimeout':
        this.fail(exchange, createTimeoutFault(open, this.identity.serverId), { type: 'timedOut' });
        break;
      case 'abandon':
        this.exchanges.setCode(exchangeId, 'callerGone');
        this.exchanges.advanceDelivery(exchangeId, { type: 'callerGone' });
        break;
    }
  }

  private dispatch(open: OpenExchange, attempt: number): void {
    const { id } = open.exchange;
    const nowMs = this.clock.monotonicMs();
    this.router.choose(open, nowMs).caseOf({
      Left: (fields) =>
        this.post({ type: 'order', exchangeId: id, attempt, event: { type: 'refused', fields } }),
      Right: (target) => this.sendRequest(open, attempt, target, nowMs),
    });
  }

  private sendRequest(open: OpenExchange, attempt: number, target: Target, nowMs: number): void {
    const { exchange } = open;
    const { id, checked, req } = exchange;
    const { serverId } = target.member;
    this.exchanges.advanceDelivery(id, { type: 'routed' });
    const tried = checked.needsOwnership ? NO_SERVERS : new Set([...open.attempt.tried, serverId]);
    const isStream = open.attempt.body === req;
    const body = isStream ? limitBody(req, checked.entry.limits.maxBodyBytes) : open.attempt.body;
    this.exchanges.setAttempt(id, () => ({ body, target, tried, startedMs: nowMs, pause: undefined }));
    this.router.noteStart(serverId);
    const request = {
      orderId: formatOrderId(id, attempt),
      head: exchange.head,
      entry: checked.entry,
      deadlineAtMs: exchange.deadlineAtMs,
      body,
      emit: (event: RoutedRequestEvent) => this.post({ type: 'order', exchangeId: id, attempt, event }),
    };
    if (serverId === this.identity.serverId) {
      const { needsOwnership, service } = checked;
      this.links.postToOwner({ type: 'order', request, needsOwnership, graceMs: service.orderGraceMs });
    } else this.links.postToForward({ type: 'forward', member: target.member, request });
  }

  private cancelRequest({ exchange, attempt: { target } }: OpenExchange, attempt: number): void {
    const message = { type: 'cancel', orderId: formatOrderId(exchange.id, attempt) } as const;
    if (target?.member.serverId === this.identity.serverId) this.links.postToOwner(message);
    else this.links.postToForward(message);
  }

  private handleRequestEvent(exchangeId: string, attempt: number, event: RoutedRequestEvent): void {
    const open = this.exchanges.get(exchangeId);
    // A response to an earlier attempt must not be mixed with that of the current one.
    if (open?.snapshot.context.attempt !== attempt) return;
    if (event.type === 'refused' || event.type === 'broken') {
      const { fields } = event;
      if (isCellOutdated(fields)) this.requestCell(open.exchange);
      this.noteEnd(open, false);
      const retryDelayMs = this.retries.plan(open, fields);
      this.advance(exchangeId, retryDelayMs === undefined ? event : { ...event, retryDelayMs });
      return;
    }
    if (event.type === 'end') this.noteEnd(open, true);
    this.advance(exchangeId, event);
  }

  private requestCell({ head, checked }: Exchange): void {
    this.listener.onCellNeeded(head.service, findCellIndex(head.key, checked.service.cells));
  }

  private noteEnd(open: OpenExchange, ok: boolean): void {
    this.router.noteEnd(open, ok, this.clock.monotonicMs());
    this.exchanges.setAttempt(open.exchange.id, (attempt) => ({ ...attempt, target: undefined }));
  }

  private sendQuotaRequest(request: QuotaRequest): void {
    const route = findQuotaHolder(this.router.view, request.entry);
    if (route === undefined) return;
    const { member } = route;
    if (member === undefined) this.listener.onCellNeeded(route.service, route.cellIndex);
    else if (member.serverId !== this.identity.serverId) this.listener.onQuotaRequest(member, request);
    else {
      const reply = (grant: QuotaGrant | undefined): void => {
        if (grant !== undefined) this.post({ type: 'slice', slice: grant });
      };
      this.links.postToQuota({ type: 'ask', ask: request, reply });
    }
  }

  private endResponse({ id, res, checked, startedMs, deadlineAtMs }: Exchange): void {
    this.exchanges.advanceDelivery(id, { type: 'written' });
    if (checked.entry.evidence === 'receipt') {
      const { owner, class: requestClass } = checked.entry;
      const expectedBytes = this.exchanges.noteReceiptDue(id);
      const receipt = { id, team: owner, class: requestClass, expectedBytes, deadlineMs: deadlineAtMs };
      this.outcomes.expectReceipt(id, startedMs);
      this.links.postToReceipts({ type: 'expect', receipt });
    }
    res.end(() => this.post({ type: 'exchange', exchangeId: id, event: { type: 'flushed' } }));
  }

  private fail(exchange: Exchange, fields: RouterErrorFields, event: DeliveryEvent): void {
    this.exchanges.setCode(exchange.id, fields.code);
    this.exchanges.advanceDelivery(exchange.id, event);
    this.refuse(exchange.req, exchange.res, fields);
  }

  private close(exchangeId: string): void {
    const open = this.exchanges.remove(exchangeId);
    if (open === undefined) return;
    open.exchange.cancelDeadline();
    const { owner, service, class: requestClass } = open.exchange.checked.entry;
    const key = entryKey(owner, service, requestClass);
    this.admission.release(key);
    // The refusal gives the caller the epoch, and the caller repeats the request with it at once.
    if (open.code === 'epochRequired') this.admission.refund(key);
    this.outcomes.countEnd(open);
    this.finishClose();
  }

  private finishClose(): void {
    if (this.exchanges.size === 0 && this.admission.waitingCount === 0) this.onClosed?.();
  }
}

function formatOrderId(exchangeId: string, attempt: number): string {
  return `${exchangeId}.${attempt}`;
}
