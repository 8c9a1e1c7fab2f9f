import { fullKeyRange } from '#ranges/FullKeyRange.js';
import type { KeyRange } from '#ranges/KeyRange.js';

/** Number of keys whose load is measured together. */
const KEYS_PER_BUCKET = 4;

/** A range that is cut off may carry more than the wanted load by this factor. */
const MAX_OVERSHOOT = 1.2;

/** A range that is cut out of the middle carries at least this fraction of the wanted load. */
const MIN_DENSE_FRACTION = 0.6;

/** Decay is applied only once it reduces the loads to this fraction, as it costs a pass over all buckets. */
const DECAY_THRESHOLD = 0.95;

/** Time constant of the exponential decay. */
const DECAY_TIME_MS = 1_000;

/**
 * Work that callers request for the keys of one backend server, as an exponentially decaying average in
 * milliseconds per second.
 */
export class KeyLoads {
  private readonly buckets = new Float64Array((fullKeyRange.to + 1) / KEYS_PER_BUCKET);
  private decayedAtMs: number;

  public constructor(nowMs: number) {
    this.decayedAtMs = nowMs;
  }

  /** Adds the service time of one request. */
  public add(key: number, workMs: number): void {
    const bucket = Math.floor(key / KEYS_PER_BUCKET);
    this.buckets[bucket] = (this.buckets[bucket] ?? 0) + workMs;
  }

  /** Returns the load of a range, in milliseconds of work per second. */
  public sum({ from, to }: KeyRange, nowMs: number): number {
    this.decay(nowMs);
    let total = 0;
    const last = Math.floor(to / KEYS_PER_BUCKET);
    for (let bucket = Math.floor(from / KEYS_PER_BUCKET); bucket <= last; bucket += 1)
      total += this.buckets[bucket] ?? 0;
    return (total * 1_000) / DECAY_TIME_MS;
  }

  /**
   * Cuts keys with about the `wanted` load off one end of a range, from the end where the load comes closest. At least one
   * whole bucket stays. Returns undefined if the first bucket at either end exceeds the limit, or if the range contains
   * fewer than two whole buckets.
   */
  public cutEnd(range: KeyRange, wanted: number, nowMs: number): KeyRange | undefined {
    this.decay(nowMs);
    const limit = ((wanted * DECAY_TIME_MS) / 1_000) * MAX_OVERSHOOT;
    const first = Math.ceil(range.from / KEYS_PER_BUCKET);
    const last = Math.floor((range.to + 1) / KEYS_PER_BUCKET) - 1;
    // Keys between an end of the range and the first whole bucket are cut off together with it.
    const tailRest = range.to >= (last + 1) * KEYS_PER_BUCKET ? (this.buckets[last + 1] ?? 0) : 0;
    const headRest = range.from < first * KEYS_PER_BUCKET ? (this.buckets[first - 1] ?? 0) : 0;
    const tail = this.countBuckets(last, -1, last - first, limit, tailRest);
    const head = this.countBuckets(first, 1, last - first, limit, headRest);
    const useTail = tail.load >= head.load;
    if ((useTail ? tail : head).count === 0) return undefined;
    return useTail
      ? { from: (last - tail.count + 1) * KEYS_PER_BUCKET, to: range.to }
      : { from: range.from, to: (first + head.count) * KEYS_PER_BUCKET - 1 };
  }

  /**
   * Returns the smallest range of whole buckets that carries about the `wanted` load, which may lie in the middle. At least
   * one whole bucket stays. Returns undefined if there is none.
   */
  public cutDensest(range: KeyRange, wanted: number, nowMs: number): KeyRange | undefined {
    this.decay(nowMs);
    const most = ((wanted * DECAY_TIME_MS) / 1_000) * MAX_OVERSHOOT;
    const least = ((wanted * DECAY_TIME_MS) / 1_000) * MIN_DENSE_FRACTION;
    const first = Math.ceil(range.from / KEYS_PER_BUCKET);
    const last = Math.floor((range.to + 1) / KEYS_PER_BUCKET) - 1;
    let best = { from: first, count: last - first + 1 };
    let from = first;
    let load = 0;
    for (let to = first; to <= last; to += 1) {
      load += this.buckets[to] ?? 0;
      while (from <= to && (load > most || load - (this.buckets[from] ?? 0) >= least)) {
        load -= this.buckets[from] ?? 0;
        from += 1;
      }
      if (load >= least && load > 0 && to - from + 1 < best.count) best = { from, count: to - from + 1 };
    }
    if (best.count > last - first) return undefined;
    return { from: best.from * KEYS_PER_BUCKET, to: (best.from + best.count) * KEYS_PER_BUCKET - 1 };
  }

  /** Returns the bucket of keys with the highest load in a range. */
  public findHottest({ from, to }: KeyRange, nowMs: number): KeyRange & { readonly load: number } {
    this.decay(nowMs);
    const last = Math.floor(to / KEYS_PER_BUCKET);
    let hottest = Math.floor(from / KEYS_PER_BUCKET);
    for (let bucket = hottest + 1; bucket <= last; bucket += 1)
      if ((this.buckets[bucket] ?? 0) > (this.buckets[hottest] ?? 0)) hottest = bucket;
    return {
      from: Math.max(from, hottest * KEYS_PER_BUCKET),
      to: Math.min(to, (hottest + 1) * KEYS_PER_BUCKET - 1),
      load: ((this.buckets[hottest] ?? 0) * 1_000) / DECAY_TIME_MS,
    };
  }

  /**
   * Counts the buckets from `start` on, at most `most`, whose load together with `restLoad` stays within the
   * limit.
   */
  private countBuckets(
    start: number,
    step: 1 | -1,
    most: number,
    limit: number,
    restLoad: number,
  ): { readonly count: number; readonly load: number } {
    let count = 0;
    let load = restLoad;
    while (count < most) {
      const next = load + (this.buckets[start + count * step] ?? 0);
      if (next > limit) break;
      load = next;
      count += 1;
    }
    return count === 0 ? { count, load: 0 } : { count, load };
  }

  private decay(nowMs: number): void {
    const factor = Math.exp(-(nowMs - this.decayedAtMs) / DECAY_TIME_MS);
    if (factor > DECAY_THRESHOLD) return;
    this.decayedAtMs = nowMs;
    for (let index = 0; index < this.buckets.length; index += 1)
      this.buckets[index] = (this.buckets[index] ?? 0) * factor;
  }
}
