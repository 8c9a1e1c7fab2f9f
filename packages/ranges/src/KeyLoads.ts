import { fullKeyRange } from '#ranges/FullKeyRange.js';
import type { KeyRange } from '#ranges/KeyRange.js';

/** Keys counted together. */
const KEYS_PER_BUCKET = 4;

/** A range may carry this much more than the load that is wanted. */
const MOST_OF_WANTED = 1.2;

/** Loads are faded once they would shrink to this part, as it costs a pass over all of them. */
const FADE_STEP = 0.95;

/** Time in which a measured load falls to 1/e, in milliseconds. */
const FADE_MS = 1_000;

/** Work asked for on the keys of one backend server, in milliseconds of work a second, fading over time. */
export class KeyLoads {
  private readonly buckets = new Float64Array((fullKeyRange.to + 1) / KEYS_PER_BUCKET);
  private fadedAtMs: number;

  public constructor(nowMs: number) {
    this.fadedAtMs = nowMs;
  }

  /** Adds the work of one request. */
  public add(key: number, workMs: number): void {
    const bucket = Math.floor(key / KEYS_PER_BUCKET);
    this.buckets[bucket] = (this.buckets[bucket] ?? 0) + workMs;
  }

  /** Load of a range. */
  public sum({ from, to }: KeyRange, nowMs: number): number {
    this.fade(nowMs);
    let total = 0;
    const last = Math.floor(to / KEYS_PER_BUCKET);
    for (let bucket = Math.floor(from / KEYS_PER_BUCKET); bucket <= last; bucket += 1)
      total += this.buckets[bucket] ?? 0;
    return (total * 1_000) / FADE_MS;
  }

  /**
   * Keys at one end of a range whose load is close to `wanted`, from the end where it comes closest. At least one whole
   * bucket stays; undefined if the keys at either end are too hot, or the range has less than two whole buckets.
   */
  public cutEnd(range: KeyRange, wanted: number, nowMs: number): KeyRange | undefined {
    this.fade(nowMs);
    const limit = ((wanted * FADE_MS) / 1_000) * MOST_OF_WANTED;
    const first = Math.ceil(range.from / KEYS_PER_BUCKET);
    const last = Math.floor((range.to + 1) / KEYS_PER_BUCKET) - 1;
    // The keys beyond the whole buckets at an end go along with it.
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

  /** The keys counted together that carry the most work of a range. */
  public findHottest({ from, to }: KeyRange, nowMs: number): KeyRange & { readonly load: number } {
    this.fade(nowMs);
    const last = Math.floor(to / KEYS_PER_BUCKET);
    let hottest = Math.floor(from / KEYS_PER_BUCKET);
    for (let bucket = hottest + 1; bucket <= last; bucket += 1)
      if ((this.buckets[bucket] ?? 0) > (this.buckets[hottest] ?? 0)) hottest = bucket;
    return {
      from: Math.max(from, hottest * KEYS_PER_BUCKET),
      to: Math.min(to, (hottest + 1) * KEYS_PER_BUCKET - 1),
      load: ((this.buckets[hottest] ?? 0) * 1_000) / FADE_MS,
    };
  }

  /** Counts at most `most` buckets from `start` on whose load, with that of the keys beyond, is within the limit. */
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

  private fade(nowMs: number): void {
    const factor = Math.exp(-(nowMs - this.fadedAtMs) / FADE_MS);
    if (factor > FADE_STEP) return;
    this.fadedAtMs = nowMs;
    for (let index = 0; index < this.buckets.length; index += 1)
      this.buckets[index] = (this.buckets[index] ?? 0) * factor;
  }
}
