import { QueueDiscipline } from '#admission/QueueDiscipline.js';
import { RequestList } from '#admission/RequestList.js';
import type { WaitingRequest } from '#admission/WaitingRequest.js';

class TeamQueue {
  public readonly requests = new RequestList();
  /** Service time used, divided by the share; the team with the lowest value is next. */
  public usedMs = 0;
  public running = 0;
  public share = 1;
}

/**
 * Weighted fair order among teams by the service time that they used (start-time fair queueing). A team that
 * uses less than its share leaves the rest to others, and is first again as soon as it asks; it saves up nothing while
 * it is idle.
 */
export class FairDiscipline extends QueueDiscipline {
  private readonly teams = new Map<string, TeamQueue>();
  /** Value of `usedMs` of the team that was started last; where teams begin that were idle. */
  private virtualMs = 0;
  private count = 0;

  public override get size(): number {
    return this.count;
  }

  public override add(request: WaitingRequest): void {
    const queue = this.enterQueue(request.team);
    queue.share = Math.max(1, request.share);
    queue.requests.add(request);
    this.count += 1;
  }

  public override next(): WaitingRequest | undefined {
    return this.findNextQueue()?.requests.first;
  }

  public override last(): WaitingRequest | undefined {
    let worst: TeamQueue | undefined;
    for (const queue of this.teams.values()) {
      if (queue.requests.size > 0 && (worst === undefined || endOf(queue) > endOf(worst))) worst = queue;
    }
    return worst?.requests.last;
  }

  public override start(request: WaitingRequest): void {
    const queue = this.enterQueue(request.team);
    this.virtualMs = Math.max(this.virtualMs, queue.usedMs);
    queue.running += 1;
    queue.usedMs += request.expectedMs / Math.max(1, request.share);
    this.remove(request);
  }

  public override remove(request: WaitingRequest): void {
    const queue = this.teams.get(request.team);
    if (queue?.requests.remove(request) !== true) return;
    this.count -= 1;
    this.forgetIdle(request.team, queue);
  }

  public override waiting(): readonly WaitingRequest[] {
    return [...this.teams.values()].flatMap(({ requests }) => requests.toArray());
  }

  /** Counts, of each other team, the work that starts until its used time reaches that of `request`. */
  public override workAheadMs(request: WaitingRequest): number {
    const own = this.teams.get(request.team);
    const ownWaitingMs = own?.requests.totalMs ?? 0;
    const share = Math.max(1, request.share);
    const startMs = Math.max(own?.usedMs ?? 0, this.isBusy(own) ? 0 : this.virtualMs) + ownWaitingMs / share;
    let total = ownWaitingMs;
    for (const queue of this.teams.values()) {
      if (queue === own) continue;
      const untilStart = Math.max(0, startMs - queue.usedMs) * queue.share;
      total += Math.min(queue.requests.totalMs, untilStart);
    }
    return total;
  }

  /** Corrects the used time of the team by the measured service time. */
  public override noteFinished(request: WaitingRequest, serviceMs: number): void {
    const queue = this.teams.get(request.team);
    if (queue === undefined) return;
    queue.running -= 1;
    queue.usedMs += (serviceMs - request.expectedMs) / Math.max(1, request.share);
    this.forgetIdle(request.team, queue);
  }

  private findNextQueue(): TeamQueue | undefined {
    let best: TeamQueue | undefined;
    for (const queue of this.teams.values()) {
      if (queue.requests.size > 0 && (best === undefined || queue.usedMs < best.usedMs)) best = queue;
    }
    return best;
  }

  /** Finds the queue of a team; one that was idle continues at the used time of the others. */
  private enterQueue(team: string): TeamQueue {
    const queue = this.teams.get(team) ?? new TeamQueue();
    this.teams.set(team, queue);
    if (!this.isBusy(queue)) queue.usedMs = Math.max(queue.usedMs, this.virtualMs);
    return queue;
  }

  private isBusy(queue: TeamQueue | undefined): boolean {
    return queue !== undefined && (queue.requests.size > 0 || queue.running > 0);
  }

  /** An idle team is kept only while its used time is ahead of the others, so that it cannot shed its debt. */
  private forgetIdle(team: string, queue: TeamQueue): void {
    if (!this.isBusy(queue) && queue.usedMs <= this.virtualMs) this.teams.delete(team);
  }
}

/** Used time of the team when all its waiting requests have run. */
function endOf(queue: TeamQueue): number {
  return queue.usedMs + queue.requests.totalMs / queue.share;
}
