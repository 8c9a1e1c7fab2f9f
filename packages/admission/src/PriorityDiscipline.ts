import { QueueDiscipline } from '#admission/QueueDiscipline.js';
import type { WaitingRequest } from '#admission/WaitingRequest.js';

/**
 * Starts the requests with the lowest priority number first. Requests of the same priority are ordered by another
 * discipline, of which `createDiscipline` creates one instance for each priority.
 */
export class PriorityDiscipline extends QueueDiscipline {
  private readonly createDiscipline: () => QueueDiscipline;
  private readonly levels = new Map<number, QueueDiscipline>();
  private count = 0;

  public constructor(createOrder: () => QueueDiscipline) {
    super();
    this.createDiscipline = createOrder;
  }

  public override get size(): number {
    return this.count;
  }

  public override add(request: WaitingRequest): void {
    this.findLevel(request.priority).add(request);
    this.count += 1;
  }

  public override next(): WaitingRequest | undefined {
    return this.findBusyLevel(1)?.next();
  }

  public override last(): WaitingRequest | undefined {
    return this.findBusyLevel(-1)?.last();
  }

  public override start(request: WaitingRequest): void {
    const level = this.findLevel(request.priority);
    const before = level.size;
    level.start(request);
    this.count -= before - level.size;
  }

  public override remove(request: WaitingRequest): void {
    const level = this.findLevel(request.priority);
    const before = level.size;
    level.remove(request);
    this.count -= before - level.size;
  }

  public override waiting(): readonly WaitingRequest[] {
    return [...this.levels.values()].flatMap((level) => level.waiting());
  }

  public override workAheadMs(request: WaitingRequest): number {
    let total = 0;
    for (const [priority, level] of this.levels) {
      if (priority <= request.priority) total += level.workAheadMs(request);
    }
    return total;
  }

  public override noteFinished(request: WaitingRequest, serviceMs: number): void {
    this.findLevel(request.priority).noteFinished(request, serviceMs);
  }

  /** Returns the non-empty level with the lowest (`sign` 1) or highest (`sign` -1) priority number. */
  private findBusyLevel(sign: 1 | -1): QueueDiscipline | undefined {
    let best: QueueDiscipline | undefined;
    let bestRank = Infinity;
    for (const [priority, level] of this.levels) {
      if (level.size === 0 || sign * priority >= bestRank) continue;
      best = level;
      bestRank = sign * priority;
    }
    return best;
  }

  private findLevel(priority: number): QueueDiscipline {
    const level = this.levels.get(priority) ?? this.createDiscipline();
    this.levels.set(priority, level);
    return level;
  }
}
