import type { Socket } from 'node:net';
import type { CallerExchangeTable } from '#mesh/CallerExchangeTable.js';
import type { CallerOptions } from '#mesh/CallerOptions.js';
import { UnsentResponses } from '#mesh/UnsentResponses.js';

/** Limits the memory of responses that callers have not read, by ending connections. */
export class UnsentLimit {
  private readonly options: Pick<CallerOptions, 'capacity' | 'logger' | 'metrics'>;
  private readonly exchanges: CallerExchangeTable;
  private readonly unsent: UnsentResponses;

  public constructor(
    options: Pick<CallerOptions, 'capacity' | 'logger' | 'metrics'>,
    exchanges: CallerExchangeTable,
  ) {
    this.options = options;
    this.exchanges = exchanges;
    this.unsent = new UnsentResponses(options.capacity.maxUnsentBytes);
  }

  /**
   * Adds a response that is being written. While the memory is exceeded, ends other connections without a request at work, the
   * one whose response has waited longest first.
   */
  public add(exchange: number, bytes: number, current: Socket): void {
    this.unsent.add(exchange, bytes);
    if (!this.unsent.isExceeded()) return;
    for (const number of this.unsent.list()) {
      if (!this.unsent.isExceeded()) return;
      this.drop(number, current);
    }
  }

  public remove(exchange: number): void {
    this.unsent.remove(exchange);
  }

  private drop(number: number, current: Socket): void {
    const exchange = this.exchanges.find(number);
    if (exchange === undefined || exchange.socket === current) return;
    if (!this.exchanges.isWritingOnly(exchange.socket)) return;
    this.unsent.remove(number);
    const { metrics, logger } = this.options;
    metrics.count('callersOutsideLimits');
    logger.log('responseDropped', { step: 'deliver', id: exchange.request.id, reason: 'memory' });
    exchange.socket.destroy();
  }
}
