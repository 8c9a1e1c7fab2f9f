import type { Socket } from 'node:net';
import { LogSampler } from '#core/LogSampler.js';
import type { CallerExchangeTable } from '#mesh/CallerExchangeTable.js';
import type { CallerOptions } from '#mesh/CallerOptions.js';
import { UnsentResponses } from '#mesh/UnsentResponses.js';

const MAX_LINES_PER_SECOND = 5;

type LimitOptions = Pick<CallerOptions, 'capacity' | 'clock' | 'logger' | 'metrics'>;

/** Limits the memory of responses that callers have not read, by ending connections. */
export class UnsentLimit {
  private readonly options: LimitOptions;
  private readonly exchanges: CallerExchangeTable;
  private readonly unsent: UnsentResponses;
  private readonly sampler = new LogSampler(MAX_LINES_PER_SECOND);

  public constructor(options: LimitOptions, exchanges: CallerExchangeTable) {
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
    const { clock, metrics, logger } = this.options;
    metrics.count('callersOutsideLimits');
    const omitted = this.sampler.admit(clock.monotonicMs());
    if (omitted !== undefined)
      logger.log('responseDropped', { step: 'deliver', id: exchange.request.id, reason: 'memory', omitted });
    exchange.socket.destroy();
  }
}
