import { QueueDiscipline } from '#admission/QueueDiscipline.js';
import { RequestList } from '#admission/RequestList.js';
import type { WaitingRequest } from '#admission/WaitingRequest.js';

/** Waiting requests and used service time of one team. */
class TeamQueue {
  public readonly requests = new RequestList();
  /** Service time used, divided by the share; the team with the lowest value is served next. */
  public usedMs = 0;
  public running = 0;
  public share = 1;
}

/**
 * Weighted fair queueing among teams by the service time that they have used (start-time fair queueing). What a team
 * leaves unused of its share goes to the others, and its next request is served first again. An idle team accumulates
 * no credit.
 */
export class FairDiscipline extends QueueDiscipline {
  private readonly teams = new Map<string, TeamQueue>();
  /** Virtual time: `usedMs` of the team that was served last. Teams that were idle continue from it. */
  private virtualMs = 0;
  private count = 0;

  public override get size(): number {
    return this.count;
  }

  public override add(request: WaitingRequest): void {
    const queue = this.activateQueue(request.team);
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
      if (queue.requests.size > 0 && (worst === undefined || virtualFinishMs(queue) > virtualFinishMs(worst)))
        worst = queue;
    }
    return worst?.requests.last;
  }

  public override start(request: WaitingRequest): void {
    const queue = this.activateQueue(request.team);
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

  /** Counts the waiting work of the same team, and of each other team the work that starts before `request` does. */
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

  /** Replaces the expected service time in the used time of the team by the measured one. */
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

  /** Returns the queue of a team, creating it if needed. The queue of an idle team is advanced to the virtual time. */
  private activateQueue(team: string): TeamQueue {
    const queue = this.teams.get(team) ?? new TeamQueue();
    this.teams.set(team, queue);
    if (!this.isBusy(queue)) queue.usedMs = Math.max(queue.usedMs, this.virtualMs);
    return queue;
  }

  private isBusy(queue: TeamQueue | undefined): boolean {
    return queue !== undefined && (queue.requests.size > 0 || queue.running > 0);
  }

  /**
   * Removes an idle team, unless it is ahead of the virtual time: it would otherwise escape the time that it overused.
   */
  private forgetIdle(team: string, queue: TeamQueue): void {
    if (!this.isBusy(queue) && queue.usedMs <= this.virtualMs) this.teams.delete(team);
  }
}

/** Returns the used time that the team will have when all its waiting requests have run. */
function virtualFinishMs(queue: TeamQueue): number {
  return queue.usedMs + queue.requests.totalMs / queue.share;
}
