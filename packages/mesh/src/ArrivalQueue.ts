import type { Arrival } from '#mesh/Arrival.js';

/**
 * Requests that were read and wait to be processed. Each iteration of the event loop reads a socket once, so the close
 * of a connection is noticed one iteration after the request on it: a request becomes ready after that iteration.
 */
export class ArrivalQueue {
  private readonly waiting = new Map<number, Arrival>();
  /** Exchanges whose requests were read in the current iteration of the event loop, and in the previous one. */
  private current: number[] = []; // eslint-disable-line no-restricted-syntax -- private queues of the hot path
  private previous: readonly number[] = [];
  private ready: number[] = []; // eslint-disable-line no-restricted-syntax -- as above

  public get size(): number {
    return this.waiting.size;
  }

  /** Adds a request that was read in the current iteration. */
  public add(arrival: Arrival): void {
    this.waiting.set(arrival.exchange, arrival);
    this.current.push(arrival.exchange);
  }

  /** Removes and returns a request if it is waiting. */
  public remove(exchange: number): Arrival | undefined {
    const arrival = this.waiting.get(exchange);
    this.waiting.delete(exchange);
    return arrival;
  }

  /** Notes that an iteration of the event loop has read all sockets. */
  public endTurn(): void {
    this.ready.push(...this.previous);
    this.previous = this.current;
    this.current = [];
  }

  /** Removes and returns the ready requests that were not processed by their `startByMs`. */
  public removeLate(nowMs: number): readonly Arrival[] {
    const late = this.ready
      .flatMap((exchange) => this.waiting.get(exchange) ?? [])
      .filter(({ startByMs }) => startByMs < nowMs);
    for (const { exchange } of late) this.waiting.delete(exchange);
    this.ready = this.ready.filter((exchange) => this.waiting.has(exchange));
    return late;
  }

  /**
   * Removes and returns the ready request that was read last, as its caller is the least likely to have given
   * up.
   */
  public takeNewest(): Arrival | undefined {
    for (;;) {
      const exchange = this.ready.pop();
      if (exchange === undefined) return undefined;
      const arrival = this.remove(exchange);
      if (arrival !== undefined) return arrival;
    }
  }
}
