import type { Arrival } from '#mesh/Arrival.js';

/**
 * Requests that were read and wait until the work on them begins. A turn of the event loop reads a socket once, so that the
 * end of a connection shows one turn after the request before it: a request becomes ready after that turn.
 */
export class ArrivalQueue {
  private readonly waiting = new Map<number, Arrival>();
  /** Requests read in the present turn, and in the one before. */
  private fresh: number[] = []; // eslint-disable-line no-restricted-syntax -- private queues of the hot path
  private settling: readonly number[] = [];
  private ready: number[] = []; // eslint-disable-line no-restricted-syntax -- as above

  public get size(): number {
    return this.waiting.size;
  }

  /** Adds a request that was read in the present turn. */
  public add(arrival: Arrival): void {
    this.waiting.set(arrival.exchange, arrival);
    this.fresh.push(arrival.exchange);
  }

  /** Removes and returns a request if it is waiting. */
  public remove(exchange: number): Arrival | undefined {
    const arrival = this.waiting.get(exchange);
    this.waiting.delete(exchange);
    return arrival;
  }

  /** Notes that a turn of the event loop has read all sockets. */
  public endTurn(): void {
    this.ready.push(...this.settling);
    this.settling = this.fresh;
    this.fresh = [];
  }

  /** Removes and returns the ready requests that have waited too long. */
  public removeLate(nowMs: number): readonly Arrival[] {
    const late = this.ready
      .flatMap((exchange) => this.waiting.get(exchange) ?? [])
      .filter(({ untilMs }) => untilMs < nowMs);
    for (const { exchange } of late) this.waiting.delete(exchange);
    this.ready = this.ready.filter((exchange) => this.waiting.has(exchange));
    return late;
  }

  /** Removes and returns the ready request that was read last. */
  public takeNewest(): Arrival | undefined {
    for (;;) {
      const exchange = this.ready.pop();
      if (exchange === undefined) return undefined;
      const arrival = this.remove(exchange);
      if (arrival !== undefined) return arrival;
    }
  }
}
