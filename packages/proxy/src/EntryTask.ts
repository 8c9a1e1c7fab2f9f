import type { IncomingMessage, ServerResponse } from 'node:http';
import type { AdmissionPolicy } from '#admission/AdmissionPolicy.js';
import { entryKey } from '#admission/EntryKey.js';
import { findCellIndex } from '#assignment/FindCellIndex.js';
import type { BalancePolicy } from '#balance/BalancePolicy.js';
import { OutlierDetector } from '#balance/OutlierDetector.js';
import { indexCatalogue } from '#catalogue/IndexCatalogue.js';
import type { Clock } from '#core/Clock.js';
import type { RandomSource } from '#core/RandomSource.js';
import type { RouterErrorFields } from '#core/RouterErrorFields.js';
import { Task } from '#core/Task.js';
import type { DeliveryEvent } from '#delivery/DeliveryEvent.js';
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
import { ExchangeTable } from '#proxy/ExchangeTable.js';
import type { OpenExchange } from '#proxy/OpenExchange.js';
import { RetryPlanner } from '#proxy/RetryPlanner.js';
import { EXCHANGE_CHART } from '#proxy/ExchangeChart.js';
import type { ExchangeCommand } from '#proxy/ExchangeCommand.js';
import type { ExchangeEvent } from '#proxy/ExchangeEvent.js';
import { InterRegionMeter } from '#proxy/InterRegionMeter.js';
import { limitBody } from '#proxy/LimitBody.js';
import type { OrderEvent } from '#proxy/OrderEvent.js';
import { OutcomeCounts } from '#proxy/OutcomeCounts.js';
import { parseRequestHead } from '#proxy/ParseRequestHead.js';
import { readBody } from '#proxy/ReadBody.js';
import type { RequestHead } from '#proxy/RequestHead.js';
import type { RoutingView } from '#proxy/RoutingView.js';
import type { Target } from '#proxy/Target.js';
import { writeAnswerHead } from '#proxy/WriteAnswerHead.js';
import { writeRefusal } from '#proxy/WriteRefusal.js';

/** Bodies up to this length are held in memory, so that an attempt that did not run can be repeated. */
const BUFFERED_BODY_BYTES = 65_536;

const NO_SERVERS: ReadonlySet<string> = new Set();
const FIRST_SNAPSHOT = { value: EXCHANGE_CHART.initial, context: { attempt: 0, lastFault: undefined } };

/** Serves callers: checks, admits and routes their requests, retries where that is safe, and judges delivery. */
export class EntryTask extends Task<EntryMessage> {
  private readonly exchanges = new ExchangeTable();
  private readonly outcomes: OutcomeCounts;
  private readonly retries: RetryPlanner;
  private readonly outliers = new OutlierDetector();
  private readonly meter = new InterRegionMeter();
  private readonly sentEvidence = new SentEvidence();
  private readonly receiptEvidence = new ReceiptEvidence();
  private view: RoutingView = { index: undefined, cells: new Map(), withdrawn: [] };
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
    this.retries = new RetryPlanner(clock, random);
    this.outcomes = new OutcomeCounts(clock, listener);
  }

  public override stop(): void {
    super.stop();
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
        this.handleOrderEvent(message.exchangeId, message.attempt, message.event);
        break;
      case 'exchange':
        this.advance(message.exchangeId, message.event);
        break;
      case 'receiptEnded':
        this.outcomes.countReceipt(message.receipt, message.outcome);
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
        message.reply(this.outcomes.counts());
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
    this.outcomes.begin(owner, requestClass);
    this.retries.noteRequest(owner, requestClass, nowMs);
    const result = this.admission.admit(entryKey(owner, service, requestClass), limits, nowMs);
    if (result.kind === 'refuse') {
      this.outcomes.countRefused(checked, result.error.code, nowMs);
      this.refuseAtOnce(req, res, result.error);
      return;
    }
    const id = head.requestId;
    this.exchanges.add(this.open(req, res, head, checked, nowMs));
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
  ): OpenExchange {
    const { limits, evidence, repeatable } = checked.entry;
    const wantedMs = head.deadlineMs > 0 ? head.deadlineMs : limits.defaultDeadlineMs;
    const deadlineAtMs = nowMs + Math.min(wantedMs, limits.maxDeadlineMs);
    const id = head.requestId;
    const cancelDeadline = this.clock.schedule(deadlineAtMs - nowMs, () =>
      this.post({ type: 'exchange', exchangeId: id, event: { type: 'deadline' } }),
    );
    const proof = evidence === 'receipt' ? this.receiptEvidence : this.sentEvidence;
    return {
      exchange: { id, req, res, head, checked, startedMs: nowMs, deadlineAtMs, cancelDeadline },
      snapshot: FIRST_SNAPSHOT,
      delivery: startDelivery(proof, deadlineAtMs, repeatable),
      attempt: { body: req, target: undefined, tried: NO_SERVERS, startedMs: nowMs, pause: undefined },
      isReceiptDue: false,
      code: '',
    };
  }

  private acceptBody(exchangeId: string, body: Buffer): void {
    this.exchanges.setAttempt(exchangeId, (attempt) => ({ ...attempt, body }));
    this.advance(exchangeId, { type: 'accepted' });
  }

  private advance(exchangeId: string, event: ExchangeEvent): void {
    const step = this.exchanges.advance(exchangeId, event);
    for (const command of step.commands) this.carryOut(exchangeId, command);
    if (step.isOver) this.close(exchangeId);
  }

  private carryOut(exchangeId: string, command: ExchangeCommand): void {
    const open = this.exchanges.get(exchangeId);
    if (open === undefined) return;
    const { exchange } = open;
    switch (command.type) {
      case 'dispatch':
        this.dispatch(open, command.attempt);
        break;
      case 'cancelOrder':
        this.cancelOrder(open, command.attempt);
        break;
      case 'scheduleRetry':
        this.clock.schedule(command.delayMs, () =>
          this.post({ type: 'exchange', exchangeId, event: { type: 'retryDue' } }),
        );
        break;
      case 'sendHead':
        this.exchanges.deliver(exchangeId, { type: 'head' });
        writeAnswerHead(exchange, command.head);
        exchange.res.on('drain', command.flow.resume);
        this.exchanges.setAttempt(exchangeId, (attempt) => ({ ...attempt, pause: command.flow.pause }));
        break;
      case 'writeChunk':
        this.exchanges.deliver(exchangeId, { type: 'chunk', bytes: command.chunk.length });
        this.meter.add(open, command.chunk.length, this.clock.monotonicMs());
        if (!exchange.res.write(command.chunk)) open.attempt.pause?.();
        break;
      case 'endAnswer':
        this.endAnswer(exchange);
        break;
      case 'noteFlushed':
        this.exchanges.deliver(exchangeId, { type: 'flushed', nowMs: this.clock.monotonicMs() });
        break;
      case 'sendRefusal':
        this.fail(exchange, command.fields, { type: 'refused' });
        break;
      case 'sendFailure':
      case 'breakAnswer':
        this.fail(exchange, command.fields, { type: 'backendLost' });
        break;
      case 'sendTimeout':
        this.fail(exchange, this.createTimeout(open), { type: 'timedOut' });
        break;
      case 'abandon':
        this.exchanges.setCode(exchangeId, 'callerGone');
        this.exchanges.deliver(exchangeId, { type: 'callerGone' });
        break;
    }
  }

  private dispatch(open: OpenExchange, attempt: number): void {
    const { id, head, checked } = open.exchange;
    const nowMs = this.clock.monotonicMs();
    const excluded = checked.needsOwnership ? NO_SERVERS : this.listExcluded(open, nowMs);
    const { region, failureDomain } = this.identity;
    chooseTarget(
      this.view,
      { head, checked, region, failureDomain, excluded },
      this.balance,
      this.random,
      nowMs,
    )
      .chain((target) => this.meter.admit(target, open.exchange, nowMs))
      .caseOf({
        Left: (fields) =>
          this.post({ type: 'order', exchangeId: id, attempt, event: { type: 'refused', fields } }),
        Right: (target) => this.sendOrder(open, attempt, target, nowMs),
      });
  }

  private listExcluded({ exchange, attempt }: OpenExchange, nowMs: number): ReadonlySet<string> {
    const ejected = this.outliers.excluded(nowMs);
    if (ejected.size === 0) return attempt.tried;
    const trial = exchange.checked.entry.repeatable ? this.outliers.nextTrial(nowMs) : undefined;
    return new Set([...attempt.tried, ...[...ejected].filter((serverId) => serverId !== trial)]);
  }

  private sendOrder(open: OpenExchange, attempt: number, target: Target, nowMs: number): void {
    const { exchange } = open;
    const { id, checked, req } = exchange;
    const { serverId } = target.member;
    this.exchanges.deliver(id, { type: 'ordered' });
    const tried = checked.needsOwnership ? NO_SERVERS : new Set([...open.attempt.tried, serverId]);
    const isStream = open.attempt.body === req;
    const body = isStream ? limitBody(req, checked.entry.limits.maxBodyBytes) : open.attempt.body;
    this.exchanges.setAttempt(id, () => ({ body, target, tried, startedMs: nowMs, pause: undefined }));
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

  private cancelOrder({ exchange, attempt: { target } }: OpenExchange, attempt: number): void {
    const message = { type: 'cancel', orderId: formatOrderId(exchange.id, attempt) } as const;
    if (target?.member.serverId === this.identity.serverId) this.links.postToOwner(message);
    else this.links.postToForward(message);
  }

  private handleOrderEvent(exchangeId: string, attempt: number, event: OrderEvent): void {
    const open = this.exchanges.get(exchangeId);
    // An answer to an earlier attempt must never be taken for that of the current one.
    if (open?.snapshot.context.attempt !== attempt) return;
    if (event.type === 'refused' || event.type === 'broken') {
      const { fields } = event;
      if (fields.code === 'notOwner' || fields.step === 'forward') this.requestCell(open.exchange);
      this.noteEnd(open, false);
      const retryDelayMs = this.retries.plan(open, fields);
      this.advance(exchangeId, retryDelayMs === undefined ? event : { ...event, retryDelayMs });
      return;
    }
    if (event.type === 'end') this.noteEnd(open, true);
    this.advance(exchangeId, event);
  }

  private requestCell(exchange: Exchange): void {
    const { head, checked } = exchange;
    this.listener.onCellNeeded(head.service, findCellIndex(head.key, checked.service.cells));
  }

  private noteEnd({ exchange, attempt }: OpenExchange, ok: boolean): void {
    const serverId = attempt.target?.member.serverId;
    if (serverId === undefined) return;
    const nowMs = this.clock.monotonicMs();
    const latencyMs = nowMs - attempt.startedMs;
    this.balance.finished(serverId, latencyMs, ok, nowMs);
    this.outliers.observe(serverId, latencyMs, ok, nowMs);
    this.exchanges.setAttempt(exchange.id, (present) => ({ ...present, target: undefined }));
  }

  private endAnswer({ id, res, checked, startedMs, deadlineAtMs }: Exchange): void {
    this.exchanges.deliver(id, { type: 'written' });
    if (checked.entry.evidence === 'receipt') {
      const { owner, class: requestClass } = checked.entry;
      const expectedBytes = this.exchanges.noteReceiptDue(id);
      const receipt = { id, tenant: owner, class: requestClass, expectedBytes, deadlineMs: deadlineAtMs };
      this.outcomes.expectReceipt(id, startedMs);
      this.links.postToReceipts({ type: 'expect', receipt });
    }
    res.end(() => this.post({ type: 'exchange', exchangeId: id, event: { type: 'flushed' } }));
  }

  private fail(exchange: Exchange, fields: RouterErrorFields, event: DeliveryEvent): void {
    this.exchanges.setCode(exchange.id, fields.code);
    this.exchanges.deliver(exchange.id, event);
    this.refuseAtOnce(exchange.req, exchange.res, fields);
  }

  private createTimeout({ attempt, delivery }: OpenExchange): RouterErrorFields {
    const peer = attempt.target?.member.serverId ?? this.identity.serverId;
    const ran = delivery.context.orderSent ? 'unknown' : 'not run';
    return { code: 'deadlineExceeded', step: 'deliver', peer, ran, status: 504 };
  }

  private close(exchangeId: string): void {
    const open = this.exchanges.remove(exchangeId);
    if (open === undefined) return;
    open.exchange.cancelDeadline();
    const { owner, service, class: requestClass } = open.exchange.checked.entry;
    this.admission.release(entryKey(owner, service, requestClass));
    this.outcomes.countEnd(open);
    this.finishClose();
  }

  private finishClose(): void {
    if (this.exchanges.size === 0) this.closed?.();
  }
}

function formatOrderId(exchangeId: string, attempt: number): string {
  return `${exchangeId}.${attempt}`;
}
