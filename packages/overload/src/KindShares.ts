/**
 * A kind that is served less often than this fraction of the average is below its minimum share. A quarter is guaranteed;
 * the reserve covers the requests that are refused before the correction takes effect.
 */
const MIN_SHARE = 0.4;

/** Number of recent requests of a kind from which its share is known. */
const MIN_REQUESTS = 5;

/** Time constant with which earlier requests lose weight, in milliseconds. */
const DECAY_MS = 5_000;

/** Weight below which a kind is forgotten. */
const MIN_WEIGHT = 0.01;

interface Count {
  readonly offered: number;
  readonly served: number;
}

const NONE: Count = { offered: 0, served: 0 };

/** Counts which fraction of the recent requests of each kind was served. Times are monotonic, in milliseconds. */
export class KindShares {
  private counts: ReadonlyMap<string, Count> = new Map();
  private total = NONE;
  private countedMs = 0;

  /** Notes whether a request was served. */
  public note(kind: string, served: boolean, nowMs: number): void {
    const weight = Math.exp(-Math.max(0, nowMs - this.countedMs) / DECAY_MS);
    this.countedMs = nowMs;
    const kept = [...this.counts].flatMap(([name, count]): readonly (readonly [string, Count])[] =>
      count.offered * weight < MIN_WEIGHT ? [] : [[name, scale(count, weight)]],
    );
    const counts = new Map(kept);
    this.counts = counts.set(kind, increment(counts.get(kind) ?? NONE, served));
    this.total = increment(scale(this.total, weight), served);
  }

  /** Whether a kind is below its minimum share, so that it takes precedence over others. */
  public isOwed(kind: string): boolean {
    const { offered, served } = this.counts.get(kind) ?? NONE;
    if (offered < MIN_REQUESTS) return false;
    return served / offered < (MIN_SHARE * this.total.served) / this.total.offered;
  }
}

function scale({ offered, served }: Count, weight: number): Count {
  return { offered: offered * weight, served: served * weight };
}

function increment({ offered, served }: Count, isServed: boolean): Count {
  return { offered: offered + 1, served: served + (isServed ? 1 : 0) };
}
