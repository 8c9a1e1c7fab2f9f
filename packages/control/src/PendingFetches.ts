import type { Cell } from '#assignment/Cell.js';

type Reply = (cell: Cell | undefined) => void;

/** Tracks the cell fetches in progress and the replies that wait for them. Used only by the cell task. */
export class PendingFetches {
  private waiting: ReadonlyMap<string, readonly Reply[]> = new Map();
  private startedAtMs: ReadonlyMap<string, number> = new Map();

  /** Starts the fetch of a cell; returns false if one is in progress. */
  public start(name: string, nowMs: number): boolean {
    if (this.waiting.has(name)) return false;
    this.waiting = new Map([...this.waiting, [name, []]]);
    this.startedAtMs = new Map([...this.startedAtMs, [name, nowMs]]);
    return true;
  }

  /** Adds a reply to the fetch of a cell. */
  public addReply(name: string, reply: Reply): void {
    this.waiting = new Map([...this.waiting, [name, [...(this.waiting.get(name) ?? []), reply]]]);
  }

  /** Ends the fetch of a cell and returns the replies that waited for it. */
  public end(name: string): readonly Reply[] {
    const replies = this.waiting.get(name) ?? [];
    this.waiting = new Map([...this.waiting].filter(([other]) => other !== name));
    return replies;
  }

  /** Returns the time since the last fetch of a cell began, in milliseconds; infinite if there was none. */
  public ageMs(name: string, nowMs: number): number {
    return nowMs - (this.startedAtMs.get(name) ?? Number.NEGATIVE_INFINITY);
  }
}
