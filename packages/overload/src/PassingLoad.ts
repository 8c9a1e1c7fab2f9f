import type { QueuedWork } from '#overload/QueuedWork.js';

/** Time constant with which earlier work loses weight, in milliseconds. */
const DECAY_MS = 2_000;

/** Weight below which a kind is forgotten, in milliseconds of work. */
const MIN_WORK_MS = 0.01;

/**
 * Largest fraction that is assumed. The figure is an average, and a request behind a short burst of urgent work may still
 * be served.
 */
const MAX_FRACTION = 0.9;

interface StartedKind {
  readonly workMs: number;
  readonly priority: number;
  readonly isShort: boolean;
}

/**
 * Measures which fraction of a server's slots goes to requests that pass ahead of a queued one, by the work that started
 * recently. A queue seems short to a request that others overtake. Times are monotonic, in milliseconds.
 */
export class PassingLoad {
  private kinds: ReadonlyMap<string, StartedKind> = new Map();
  private notedMs = 0;

  /** Notes that a request got a slot. */
  public noteStart({ kind, isShort, serviceMs, request }: QueuedWork, nowMs: number): void {
    const weight = this.weightAt(nowMs);
    const kept = [...this.kinds].flatMap(([name, each]): readonly (readonly [string, StartedKind])[] =>
      each.workMs * weight < MIN_WORK_MS ? [] : [[name, { ...each, workMs: each.workMs * weight }]],
    );
    const kinds = new Map(kept);
    const workMs = (kinds.get(kind)?.workMs ?? 0) + serviceMs;
    this.kinds = kinds.set(kind, { workMs, priority: request.priority, isShort });
    this.notedMs = nowMs;
  }

  /** Factor by which a request waits longer than the work queued ahead of it takes. */
  public stretch(
    queued: QueuedWork,
    slots: number,
    isOwed: (kind: string) => boolean,
    nowMs: number,
  ): number {
    if (queued.isShort) return 1;
    const isQueuedOwed = isOwed(queued.kind);
    const passing = [...this.kinds].filter(
      ([kind, { priority, isShort }]) =>
        isShort || (!isQueuedOwed && (priority < queued.request.priority || isOwed(kind))),
    );
    const workMs = passing.reduce((sum, [, each]) => sum + each.workMs, 0) * this.weightAt(nowMs);
    return 1 / (1 - Math.min(MAX_FRACTION, workMs / (DECAY_MS * Math.max(1, slots))));
  }

  private weightAt(nowMs: number): number {
    return Math.exp(-Math.max(0, nowMs - this.notedMs) / DECAY_MS);
  }
}
