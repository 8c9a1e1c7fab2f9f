import { QueueOrder } from '#admission/QueueOrder.js';
import type { WaitingRequest } from '#admission/WaitingRequest.js';

/** Starts requests in the order of their arrival. */
export class FifoOrder extends QueueOrder {
  private readonly requests = new Set<WaitingRequest>();
  private totalMs = 0;

  public override get size(): number {
    return this.requests.size;
  }

  public override add(request: WaitingRequest): void {
    this.requests.add(request);
    this.totalMs += request.expectedMs;
  }

  public override next(): WaitingRequest | undefined {
    const [first] = this.requests;
    return first;
  }

  public override last(): WaitingRequest | undefined {
    return [...this.requests].at(-1);
  }

  public override start(request: WaitingRequest): void {
    this.remove(request);
  }

  public override remove(request: WaitingRequest): void {
    if (!this.requests.delete(request)) return;
    this.totalMs = this.requests.size === 0 ? 0 : this.totalMs - request.expectedMs;
  }

  public override waiting(): Iterable<WaitingRequest> {
    return this.requests;
  }

  public override workAheadMs(): number {
    return this.totalMs;
  }

  public override finished(): void {
    return;
  }
}
