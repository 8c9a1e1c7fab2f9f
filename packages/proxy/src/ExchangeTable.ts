import { advanceChart } from '#chart/AdvanceChart.js';
import { deliveryChart } from '#delivery/DeliveryChart.js';
import type { DeliveryEvent } from '#delivery/DeliveryEvent.js';
import type { Attempt } from '#proxy/Attempt.js';
import { exchangeChart } from '#proxy/ExchangeChart.js';
import type { ExchangeCommand } from '#proxy/ExchangeCommand.js';
import type { ExchangeEvent } from '#proxy/ExchangeEvent.js';
import type { OpenExchange } from '#proxy/OpenExchange.js';

interface ExchangeStep {
  readonly commands: readonly ExchangeCommand[];
  /** Whether the exchange has reached a final state. */
  readonly isOver: boolean;
}

const NO_STEP: ExchangeStep = { commands: [], isOver: false };

/** The open exchanges of an entry task, by id. Operations on an exchange that is no longer open have no effect. */
export class ExchangeTable {
  private readonly exchanges = new Map<string, OpenExchange>();

  /** Number of open exchanges. */
  public get size(): number {
    return this.exchanges.size;
  }

  public get(exchangeId: string): OpenExchange | undefined {
    return this.exchanges.get(exchangeId);
  }

  public add(open: OpenExchange): void {
    this.exchanges.set(open.exchange.id, open);
  }

  /** Removes an exchange and returns its final state. */
  public remove(exchangeId: string): OpenExchange | undefined {
    const open = this.exchanges.get(exchangeId);
    this.exchanges.delete(exchangeId);
    return open;
  }

  /** Passes an event to the chart of an exchange and returns the commands, which the entry task executes. */
  public advance(exchangeId: string, event: ExchangeEvent): ExchangeStep {
    const open = this.exchanges.get(exchangeId);
    if (open === undefined) return NO_STEP;
    const { taken, snapshot, commands } = advanceChart(exchangeChart, open.snapshot, event);
    if (!taken) return NO_STEP;
    if (snapshot.value !== open.snapshot.value) this.exchanges.set(exchangeId, { ...open, snapshot });
    return { commands, isOver: exchangeChart.finalStates.has(snapshot.value) };
  }

  /** Passes an event to the delivery chart of an exchange. */
  public advanceDelivery(exchangeId: string, event: DeliveryEvent): void {
    const open = this.exchanges.get(exchangeId);
    if (open === undefined) return;
    const { snapshot } = advanceChart(deliveryChart, open.delivery, event);
    if (snapshot !== open.delivery) this.exchanges.set(exchangeId, { ...open, delivery: snapshot });
  }

  /** Replaces the current attempt of an exchange by the result of `update`. */
  public setAttempt(exchangeId: string, update: (attempt: Attempt) => Attempt): void {
    const open = this.exchanges.get(exchangeId);
    if (open !== undefined) this.exchanges.set(exchangeId, { ...open, attempt: update(open.attempt) });
  }

  /** Notes the code of the refusal or failure that is sent to the caller. */
  public setCode(exchangeId: string, code: string): void {
    const open = this.exchanges.get(exchangeId);
    if (open !== undefined) this.exchanges.set(exchangeId, { ...open, code });
  }

  /** Notes that a receipt will decide the outcome; returns the number of bytes that the caller has to confirm. */
  public noteReceiptDue(exchangeId: string): number {
    const open = this.exchanges.get(exchangeId);
    if (open === undefined) return 0;
    this.exchanges.set(exchangeId, { ...open, isReceiptDue: true });
    return open.delivery.context.sentBytes;
  }

  /** Cancels the deadline timers of all exchanges. */
  public cancelDeadlines(): void {
    for (const { exchange } of this.exchanges.values()) exchange.cancelDeadline();
  }
}
