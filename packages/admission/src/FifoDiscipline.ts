import { QueueDiscipline } from '#admission/QueueDiscipline.js';
import { RequestList } from '#admission/RequestList.js';
import type { WaitingRequest } from '#admission/WaitingRequest.js';

/** Starts requests in the order of their arrival. */
export class FifoDiscipline extends QueueDiscipline {
  private readonly requests = new RequestList();

  public override get size(): number {
    return this.requests.size;
  }

  public override add(request: WaitingRequest): void {
    this.requests.add(request);
  }

  public override next(): WaitingRequest | undefined {
    return this.requests.first;
  }

  public override last(): WaitingRequest | undefined {
    return this.requests.last;
  }

  public override start(request: WaitingRequest): void {
    this.requests.remove(request);
  }

  public override remove(request: WaitingRequest): void {
    this.requests.remove(request);
  }

  public override waiting(): readonly WaitingRequest[] {
    return this.requests.toArray();
  }

  public override workAheadMs(): number {
    return this.requests.totalMs;
  }

  public override noteFinished(): void {
    return;
  }
}
