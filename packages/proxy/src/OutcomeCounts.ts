import type { Clock } from '#core/Clock.js';
import type { DeliveryCounts } from '#delivery/DeliveryCounts.js';
import { DeliveryLedger } from '#delivery/DeliveryLedger.js';
import { findOutcome } from '#delivery/FindOutcome.js';
import type { Outcome } from '#delivery/Outcome.js';
import type { PendingReceipt } from '#delivery/PendingReceipt.js';
import type { CheckedRequest } from '#proxy/CheckedRequest.js';
import type { EntryListener } from '#proxy/EntryListener.js';
import type { OpenExchange } from '#proxy/OpenExchange.js';

/** Counts exactly one outcome for each request of an entry task, and reports it to the listener. */
export class OutcomeCounts {
  private readonly ledger = new DeliveryLedger();
  /** Arrival times of the requests whose receipts are awaited, by exchange id. */
  private readonly receiptStarts = new Map<string, number>();

  public constructor(
    private readonly clock: Clock,
    private readonly listener: EntryListener,
  ) {}

  /** Counts the arrival of a request. */
  public begin(team: string, requestClass: string): void {
    this.ledger.countArrival(team, requestClass);
  }

  /** Counts a request that was not admitted; `startedMs` is its arrival time. */
  public countRefused(checked: CheckedRequest, code: string, startedMs: number): void {
    this.count(checked, 'refused', code, 0, startedMs, startedMs);
  }

  /** Counts the end of an exchange, unless its outcome depends on a receipt; see `countReceipt`. */
  public countEnd(open: OpenExchange): void {
    if (open.isReceiptDue) return;
    const { exchange, code, attempt } = open;
    const retries = Math.max(0, open.snapshot.context.attempt - 1);
    const outcome = findOutcome(open.delivery) ?? 'failed';
    this.count(exchange.checked, outcome, code, retries, exchange.startedMs, attempt.startedMs);
  }

  /** Notes the arrival time of a request whose receipt is awaited. */
  public expectReceipt(exchangeId: string, startedMs: number): void {
    this.receiptStarts.set(exchangeId, startedMs);
  }

  /** Counts the outcome of a response that required a receipt. */
  public countReceipt(receipt: PendingReceipt, outcome: Outcome): void {
    this.ledger.countOutcome(receipt.team, receipt.class, outcome);
    const nowMs = this.clock.monotonicMs();
    const wholeMs = nowMs - (this.receiptStarts.get(receipt.id) ?? nowMs);
    this.receiptStarts.delete(receipt.id);
    this.listener.onReceipt(receipt.team, receipt.class, outcome, wholeMs);
  }

  /** Returns the counts since the start, by team and class. */
  public counts(): readonly DeliveryCounts[] {
    return this.ledger.counts();
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
    this.ledger.countOutcome(owner, requestClass, outcome);
    const wholeMs = nowMs - startedMs;
    const attemptMs = nowMs - attemptStartedMs;
    const end = { team: owner, class: requestClass, service, outcome, code, retries, wholeMs, attemptMs };
    this.listener.onEnd(end);
  }
}
