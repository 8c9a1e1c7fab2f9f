import { keySpace } from '#ranges/KeySpace.js';
import type { KeyRange } from '#ranges/KeyRange.js';

/** Keys counted together. */
const KEYS_PER_BUCKET = 16;

/** Time in which a measured load falls to 1/e, in milliseconds. */
const FADE_MS = 2_000;

/** Work measured on the keys of one backend server, in milliseconds of work a second, fading over time. */
export class KeyLoads {
  private readonly buckets = new Float64Array((keySpace.to + 1) / KEYS_PER_BUCKET);
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

  /** Keys from the end of a range whose load is close to `wanted` and not more; undefined if there are none. */
  public cutTail(range: KeyRange, wanted: number, nowMs: number): KeyRange | undefined {
    this.fade(nowMs);
    const limit = (wanted * FADE_MS) / 1_000;
    const first = Math.ceil(range.from / KEYS_PER_BUCKET);
    let total = 0;
    let from = range.to + 1;
    for (let bucket = Math.floor(range.to / KEYS_PER_BUCKET); bucket >= first; bucket -= 1) {
      total += this.buckets[bucket] ?? 0;
      if (total > limit) break;
      from = bucket * KEYS_PER_BUCKET;
    }
    return from > range.to ? undefined : { from, to: range.to };
  }

  private fade(nowMs: number): void {
    const factor = Math.exp(-(nowMs - this.fadedAtMs) / FADE_MS);
    if (factor > 0.99) return;
    this.fadedAtMs = nowMs;
    for (let index = 0; index < this.buckets.length; index += 1)
      this.buckets[index] = (this.buckets[index] ?? 0) * factor;
  }
}
