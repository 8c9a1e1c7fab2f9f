import type { IncomingMessage, ServerResponse } from 'node:http';
import type { AdmissionPolicy } from '#admission/AdmissionPolicy.js';
import { entryKey } from '#admission/EntryKey.js';
import { findCellIndex } from '#assignment/FindCellIndex.js';
import type { BalancePolicy } from '#balance/BalancePolicy.js';
import { decideRetry } from '#balance/DecideRetry.js';
import { OutlierDetector } from '#balance/OutlierDetector.js';
import { RetryBudget } from '#balance/RetryBudget.js';
import { indexCatalogue } from '#catalogue/IndexCatalogue.js';
import { advanceChart } from '#chart/AdvanceChart.js';
import type { Clock } from '#core/Clock.js';
import type { RandomSource } from '#core/RandomSource.js';
import type { RouterErrorFields } from '#core/RouterErrorFields.js';
import { Task } from '#core/Task.js';
import { DELIVERY_CHART } from '#delivery/DeliveryChart.js';
import type { DeliveryEvent } from '#delivery/DeliveryEvent.js';
import { DeliveryLedger } from '#delivery/DeliveryLedger.js';
import { findOutcome } from '#delivery/FindOutcome.js';
import type { Outcome } from '#delivery/Outcome.js';
import { ReceiptEvidence } from '#delivery/ReceiptEvidence.js';
import { SentEvidence } from '#delivery/SentEvidence.js';
import { startDelivery } from '#delivery/StartDelivery.js';
import type { CheckedRequest } from '#proxy/CheckedRequest.js';
import { checkRequest } from '#proxy/CheckRequest.js';
import { chooseTarget } from '#proxy/ChooseTarget.js';
import type { EntryIdentity } from '#proxy/EntryIdentity.js';
import type { EntryLinks } from '#proxy/EntryLinks.js';
import type { EntryListener } from '#proxy/EntryListener.js';
import type { EntryMessage } from '#proxy/EntryMessage.js';
import type { Exchange } from '#proxy/Exchange.js';
import { EXCHANGE_CHART } from '#proxy/ExchangeChart.js';
import type { ExchangeCommand } from '#proxy/ExchangeCommand.js';
import type { ExchangeEvent } from '#proxy/ExchangeEvent.js';
import { InterRegionMeter } from '#proxy/InterRegionMeter.js';
import { limitBody } from '#proxy/LimitBody.js';
import { mayRetryFault } from '#proxy/MayRetryFault.js';
import type { OrderEvent } from '#proxy/OrderEvent.js';
import { parseRequestHead } from '#proxy/ParseRequestHead.js';
import { readBody } from '#proxy/ReadBody.js';
import type { PendingReceipt } from '#delivery/PendingReceipt.js';
import type { RequestHead } from '#proxy/RequestHead.js';
import type { RoutingView } from '#proxy/RoutingView.js';
import type { Target } from '#proxy/Target.js';
import { writeAnswerHead } from '#proxy/WriteAnswerHead.js';
import { writeRefusal } from '#proxy/WriteRefusal.js';

/** Bodies up to this length are held in memory, so that an attempt that did not run can be repeated. */
const BUFFERED_BODY_BYTES = 65_536;
const RETRY_FRACTION = 0.2;
const RETRY_MINIMUM = 20;
/** Time that one attempt is expected to need at least, when deciding whether a retry can still be in time. */
const EXPECTED_ATTEMPT_MS = 1;

/** Serves callers: checks, admits and routes their requests, retries where that is safe, and judges delivery. */
export class EntryTask extends Task<EntryMessage> {
  private readonly exchanges = new Map<string, Exchange>();
  private readonly ledger = new DeliveryLedger();
  private readonly budget = new RetryBudget(RETRY_FRACTION, RETRY_MINIMUM);
  private readonly outliers = new OutlierDetector();
  private readonly meter = new InterRegionMeter();
  private readonly sentEvidence = new SentEvidence();
  private readonly receiptEvidence = new ReceiptEvidence();
  private view: RoutingView = { index: undefined, cells: new Map(), withdrawn: [] };
  /** Arrival times of requests whose receipts are awaited. */
  private readonly receiptStarts = new Map<string, number>();
  private nextId = 0;
  private closed: (() => void) | undefined;

  public constructor(
    private readonly identity: EntryIdentity,
    private readonly clock: Clock,
    private readonly random: RandomSource,
    private readonly admission: AdmissionPolicy,
    private readonly balance: BalancePolicy,
    private readonly links: EntryLinks,
    private readonly listener: EntryListener,
  ) {
    super();
  }

  public override stop(): void {
    super.stop();
    for (const exchange of this.exchanges.values()) exchange.cancelDeadline();
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
        this.handleOrderEvent(message.exchangeId, message.attempt, message.event);
        break;
      case 'exchange':
        this.advance(message.exchangeId, message.event);
        break;
      case 'receiptEnded':
        this.countReceipt(message.receipt, message.outcome);
        break;
      case 'catalogue':
        this.view = { ...this.view, index: indexCatalogue(message.catalogue) };
        break;
      case 'intent':
        this.view = { ...this.view, withdrawn: message.intent.withdrawals };
        break;
      case 'cell':
        this.applyCell(message.cell);
        break;
      case 'counts':
        message.reply(this.ledger.counts());
        break;
      case 'close':
        this.closed = message.reply;
        this.finishClose();
        break;
    }
  }

  private applyCell(cell: Extract<EntryMessage, { readonly type: 'cell' }>['cell']): void {
    const cells = new Map(this.view.cells).set(`${cell.service}/${cell.index}`, cell);
    this.view = { ...this.view, cells };
    const active = [...cells.values()].flatMap(({ members }) =>
      members.filter(({ state }) => state === 'active'),
    );
    const ids = active.map(({ serverId }) => serverId);
    this.balance.retain(new Set(ids));
    this.outliers.setPool(ids);
    this.links.postToForward({ type: 'members', members: active });
  }

  private acceptRequest(req: IncomingMessage, res: ServerResponse): void {
    this.nextId += 1;
    const requestId = `${this.identity.serverId}-${this.nextId.toString(36)}`;
    const parsed = parseRequestHead(requestId, req.method ?? 'GET', req.url ?? '/', req.headers);
    parsed
      .chain((head) =>
        checkRequest(this.view, head, this.identity.region).map((checked) => ({ head, checked })),
      )
      .caseOf({
        Left: (fields) => this.refuseAtOnce(req, res, fields),
        Right: ({ head, checked }) => this.admit(req, res, head, checked),
      });
  }

  private refuseAtOnce(req: IncomingMessage, res: ServerResponse, fields: RouterErrorFields): void {
    // The rest of the body would be read as the next request of the connection.
    if (!req.complete) res.setHeader('connection', 'close');
    writeRefusal(res, { ...fields, peer: fields.peer === '' ? this.identity.serverId : fields.peer });
  }

  private admit(req: IncomingMessage, res: ServerResponse, head: RequestHead, checked: CheckedRequest): void {
    const nowMs = this.clock.monotonicMs();
    const { owner, service, class: requestClass, limits } = checked.entry;
    this.ledger.begin(owner, requestClass);
    this.budget.noteRequest(owner, requestClass, nowMs);
    const result = this.admission.admit(entryKey(owner, service, requestClass), limits, nowMs);
    if (result.kind === 'refuse') {
      this.count(checked, 'refused', result.error.code, 0, nowMs, nowMs);
      this.refuseAtOnce(req, res, result.error);
      return;
    }
    const exchange = this.open(req, res, head, checked, nowMs);
    this.exchanges.set(exchange.id, exchange);
    const { id } = exchange;
    res.once('close', () => {
      if (!res.writableFinished)
        this.post({ type: 'exchange', exchangeId: id, event: { type: 'callerGone' } });
    });
    if (head.contentLength === 0) this.acceptBody(id, Buffer.alloc(0));
    else if (head.contentLength > 0 && head.contentLength <= BUFFERED_BODY_BYTES) {
      readBody(req, (body) => this.post({ type: 'bodyRead', exchangeId: id, body }));
    } else this.advance(id, { type: 'accepted' });
  }

  private open(
    req: IncomingMessage,
    res: ServerResponse,
    head: RequestHead,
    checked: CheckedRequest,
    nowMs: number,
  ): Exchange {
    const { limits, evidence, repeatable } = checked.entry;
    const wantedMs = head.deadlineMs > 0 ? head.deadlineMs : limits.defaultDeadlineMs;
    const deadlineAtMs = nowMs + Math.min(wantedMs, limits.maxDeadlineMs);
    const id = head.requestId;
    return {
      id,
      req,
      res,
      head,
      checked,
      startedMs: nowMs,
      deadlineAtMs,
      cancelDeadline: this.clock.schedule(deadlineAtMs - nowMs, () =>
        this.post({ type: 'exchange', exchangeId: id, event: { type: 'deadline' } }),
      ),
      snapshot: { value: EXCHANGE_CHART.initial, context: { attempt: 0, lastFault: undefined } },
      delivery: startDelivery(
        evidence === 'receipt' ? this.receiptEvidence : this.sentEvidence,
        deadlineAtMs,
        repeatable,
      ),
      body: req,
      target: undefined,
      tried: new Set(),
      attemptStartedMs: nowMs,
      pause: undefined,
      isReceiptDue: false,
      code: '',
    };
  }

  private acceptBody(exchangeId: string, body: Buffer): void {
    this.change(exchangeId, { body });
    this.advance(exchangeId, { type: 'accepted' });
  }

  private change(exchangeId: string, changes: Partial<Exchange>): void {
    const exchange = this.exchanges.get(exchangeId);
    if (exchange !== undefined) this.exchanges.set(exchangeId, { ...exchange, ...changes });
  }

  private advance(exchangeId: string, event: ExchangeEvent): void {
    const exchange = this.exchanges.get(exchangeId);
    if (exchange === undefined) return;
    const step = advanceChart(EXCHANGE_CHART, exchange.snapshot, event);
    if (!step.taken) return;
    this.exchanges.set(exchangeId, { ...exchange, snapshot: step.snapshot });
    for (const command of step.commands) this.carryOut(exchangeId, command);
    if (EXCHANGE_CHART.finalStates.has(step.snapshot.value)) this.close(exchangeId);
  }

  private carryOut(exchangeId: string, command: ExchangeCommand): void {
    const exchange = this.exchanges.get(exchangeId);
    if (exchange === undefined) return;
    switch (command.type) {
      case 'dispatch':
        this.dispatch(exchange, command.attempt);
        break;
      case 'cancelOrder':
        this.cancelOrder(exchange, command.attempt);
        break;
      case 'scheduleRetry':
        this.clock.schedule(command.delayMs, () =>
          this.post({ type: 'exchange', exchangeId, event: { type: 'retryDue' } }),
        );
        break;
      case 'sendHead':
        this.deliver(exchangeId, { type: 'head' });
        writeAnswerHead(exchange, command.head);
        exchange.res.on('drain', command.flow.resume);
        this.change(exchangeId, { pause: command.flow.pause });
        break;
      case 'writeChunk':
        this.deliver(exchangeId, { type: 'chunk', bytes: command.chunk.length });
        this.meter.add(exchange, command.chunk.length, this.clock.monotonicMs());
        if (!exchange.res.write(command.chunk)) exchange.pause?.();
        break;
      case 'endAnswer':
        this.endAnswer(exchange);
        break;
      case 'noteFlushed':
        this.deliver(exchangeId, { type: 'flushed', nowMs: this.clock.monotonicMs() });
        break;
      case 'sendRefusal':
        this.fail(exchange, command.fields, { type: 'refused' });
        break;
      case 'sendFailure':
      case 'breakAnswer':
        this.fail(exchange, command.fields, { type: 'backendLost' });
        break;
      case 'sendTimeout':
        this.fail(exchange, this.createTimeout(exchange), { type: 'timedOut' });
        break;
      case 'abandon':
        this.change(exchangeId, { code: 'callerGone' });
        this.deliver(exchangeId, { type: 'callerGone' });
        break;
    }
  }

  private dispatch(exchange: Exchange, attempt: number): void {
    const { id, head, checked, tried } = exchange;
    const nowMs = this.clock.monotonicMs();
    const trial =
      checked.needsOwnership || !checked.entry.repeatable ? undefined : this.outliers.nextTrial(nowMs);
    const ejected = [...this.outliers.excluded(nowMs)].filter((serverId) => serverId !== trial);
    const excluded = new Set([...tried, ...ejected]);
    const { region, failureDomain } = this.identity;
    chooseTarget(
      this.view,
      { head, checked, region, failureDomain, excluded },
      this.balance,
      this.random,
      nowMs,
    )
      .chain((target) => this.meter.admit(target, exchange, nowMs))
      .caseOf({
        Left: (fields) =>
          this.post({ type: 'order', exchangeId: id, attempt, event: { type: 'refused', fields } }),
        Right: (target) => this.sendOrder(exchange, attempt, target, nowMs),
      });
  }

  private sendOrder(exchange: Exchange, attempt: number, target: Target, nowMs: number): void {
    const { id, checked } = exchange;
    const { serverId } = target.member;
    this.deliver(id, { type: 'ordered' });
    const tried = checked.needsOwnership ? exchange.tried : new Set([...exchange.tried, serverId]);
    const limited = exchange.body === exchange.req;
    const body = limited ? limitBody(exchange.req, checked.entry.limits.maxBodyBytes) : exchange.body;
    this.change(id, { target, tried, attemptStartedMs: nowMs, body });
    this.balance.started(serverId);
    const order = {
      orderId: formatOrderId(id, attempt),
      head: exchange.head,
      entry: checked.entry,
      deadlineAtMs: exchange.deadlineAtMs,
      body,
      emit: (event: OrderEvent) => this.post({ type: 'order', exchangeId: id, attempt, event }),
    };
    if (serverId === this.identity.serverId) {
      const { needsOwnership, service } = checked;
      this.links.postToOwner({ type: 'order', order, needsOwnership, graceMs: service.orderGraceMs });
    } else this.links.postToForward({ type: 'forward', member: target.member, order });
  }

  private cancelOrder(exchange: Exchange, attempt: number): void {
    const message = { type: 'cancel', orderId: formatOrderId(exchange.id, attempt) } as const;
    if (exchange.target?.member.serverId === this.identity.serverId) this.links.postToOwner(message);
    else this.links.postToForward(message);
  }

  private handleOrderEvent(exchangeId: string, attempt: number, event: OrderEvent): void {
    const exchange = this.exchanges.get(exchangeId);
    // An answer to an earlier attempt must never be taken for that of the current one.
    if (exchange?.snapshot.context.attempt !== attempt) return;
    if (event.type === 'refused' || event.type === 'broken') {
      this.noteEnd(exchange, false);
      this.advance(exchangeId, { ...event, ...this.planRetry(exchange, event.fields) });
      return;
    }
    if (event.type === 'end') this.noteEnd(exchange, true);
    this.advance(exchangeId, event);
  }

  private planRetry(exchange: Exchange, fields: RouterErrorFields): { readonly retryDelayMs?: number } {
    if (fields.code === 'notOwner' || fields.step === 'forward') this.requestCell(exchange);
    if (!Buffer.isBuffer(exchange.body) || !mayRetryFault(fields)) return {};
    const { entry } = exchange.checked;
    const decision = decideRetry(
      {
        tenant: entry.owner,
        class: entry.class,
        repeatable: entry.repeatable,
        ran: fields.ran,
        attempts: exchange.snapshot.context.attempt,
        deadlineMs: exchange.deadlineAtMs,
        expectedMs: EXPECTED_ATTEMPT_MS,
        ...(fields.retryAfterMs === undefined ? {} : { retryAfterMs: fields.retryAfterMs }),
      },
      this.budget,
      this.random,
      this.clock.monotonicMs(),
    );
    return decision.kind === 'retry' ? { retryDelayMs: decision.delayMs } : {};
  }

  private requestCell(exchange: Exchange): void {
    const { head, checked } = exchange;
    this.listener.onCellNeeded(head.service, findCellIndex(head.key, checked.service.cells));
  }

  private noteEnd(exchange: Exchange, ok: boolean): void {
    const serverId = exchange.target?.member.serverId;
    if (serverId === undefined) return;
    const nowMs = this.clock.monotonicMs();
    const latencyMs = nowMs - exchange.attemptStartedMs;
    this.balance.finished(serverId, latencyMs, ok, nowMs);
    this.outliers.observe(serverId, latencyMs, ok, nowMs);
    this.change(exchange.id, { target: undefined });
  }

  private endAnswer(exchange: Exchange): void {
    const { id, res, checked, deadlineAtMs } = exchange;
    this.deliver(id, { type: 'written' });
    if (checked.entry.evidence === 'receipt') {
      const { owner, class: requestClass } = checked.entry;
      const expectedBytes = this.exchanges.get(id)?.delivery.context.sentBytes ?? 0;
      const receipt = { id, tenant: owner, class: requestClass, expectedBytes, deadlineMs: deadlineAtMs };
      this.change(id, { isReceiptDue: true });
      this.receiptStarts.set(id, exchange.startedMs);
      this.links.postToReceipts({ type: 'expect', receipt });
    }
    res.end(() => this.post({ type: 'exchange', exchangeId: id, event: { type: 'flushed' } }));
  }

  private fail(exchange: Exchange, fields: RouterErrorFields, event: DeliveryEvent): void {
    this.change(exchange.id, { code: fields.code });
    this.deliver(exchange.id, event);
    this.refuseAtOnce(exchange.req, exchange.res, fields);
  }

  private createTimeout(exchange: Exchange): RouterErrorFields {
    const peer = exchange.target?.member.serverId ?? this.identity.serverId;
    return { code: 'deadlineExceeded', step: 'deliver', peer, ran: 'unknown', status: 504 };
  }

  private deliver(exchangeId: string, event: DeliveryEvent): void {
    const exchange = this.exchanges.get(exchangeId);
    if (exchange === undefined) return;
    const { snapshot } = advanceChart(DELIVERY_CHART, exchange.delivery, event);
    this.exchanges.set(exchangeId, { ...exchange, delivery: snapshot });
  }

  private close(exchangeId: string): void {
    const exchange = this.exchanges.get(exchangeId);
    if (exchange === undefined) return;
    this.exchanges.delete(exchangeId);
    exchange.cancelDeadline();
    const { checked, code, startedMs, attemptStartedMs, snapshot } = exchange;
    const retries = Math.max(0, snapshot.context.attempt - 1);
    const { owner, service, class: requestClass } = checked.entry;
    this.admission.release(entryKey(owner, service, requestClass));
    const outcome = findOutcome(exchange.delivery);
    // The receipt task reports the outcome of an answer whose receipt it awaits.
    if (!exchange.isReceiptDue) {
      this.count(checked, outcome ?? 'failed', code, retries, startedMs, attemptStartedMs);
    }
    this.finishClose();
  }

  private count(
    checked: CheckedRequest,
    outcome: Outcome,
    code: string,
    retries: number,
    startedMs: number,
    attemptStartedMs: number,
  ): void {
    const { owner, service, class: requestClass } = checked.entry;
    const nowMs = this.clock.monotonicMs();
    this.ledger.end(owner, requestClass, outcome);
    const wholeMs = nowMs - startedMs;
    const orderMs = nowMs - attemptStartedMs;
    const end = { tenant: owner, class: requestClass, service, outcome, code, retries, wholeMs, orderMs };
    this.listener.onEnd(end);
  }

  private countReceipt(receipt: PendingReceipt, outcome: Outcome): void {
    this.ledger.end(receipt.tenant, receipt.class, outcome);
    const nowMs = this.clock.monotonicMs();
    const wholeMs = nowMs - (this.receiptStarts.get(receipt.id) ?? nowMs);
    this.receiptStarts.delete(receipt.id);
    this.listener.onReceipt(receipt.tenant, receipt.class, outcome, wholeMs);
  }

  private finishClose(): void {
    if (this.exchanges.size === 0) this.closed?.();
  }
}

function formatOrderId(exchangeId: string, attempt: number): string {
  return `${exchangeId}.${attempt}`;
}
