import { decodeFromCompressedBase64, encodeIntoCompressedBase64, type Histogram } from 'hdr-histogram-js';
import { bucketBoundsMs } from '#metrics/BucketBoundsMs.js';
import { buildHistogram } from '#metrics/BuildHistogram.js';
import type { PhaseBuckets } from '#metrics/PhaseBuckets.js';

// Deadlines are at most 300 s. A greater value comes from a clock error and would only enlarge the histogram.
const MAX_VALUE_US = 600_000_000;

const MICROS_PER_MS = 1_000;

/** Mutable histogram and buckets of one phase; only the recorder of one task uses it. */
export class PhaseRecorder {
  private readonly histogram: Histogram = buildHistogram();
  private readonly counts = new Float64Array(bucketBoundsMs.length + 1);
  private sumMicros = 0;

  /** Records a duration in microseconds. */
  public record(micros: number): void {
    const value = Math.min(MAX_VALUE_US, Math.max(0, Math.round(micros)));
    this.histogram.recordValue(value);
    this.addToBucket(findBucket(value / MICROS_PER_MS), 1);
    this.sumMicros += value;
  }

  /** Adds the values of another recorder. */
  public add(other: PhaseRecorder): void {
    this.histogram.add(other.histogram);
    this.addBuckets(other.buckets());
  }

  /** Adds an encoded histogram and its buckets; throws if the histogram cannot be decoded. */
  public addEncoded(histogram: string, buckets: PhaseBuckets): void {
    this.histogram.add(decodeFromCompressedBase64(histogram));
    this.addBuckets(buckets);
  }

  /** Encodes the histogram in the compressed V2 format of HdrHistogram as base64. */
  public encode(): string {
    return encodeIntoCompressedBase64(this.histogram);
  }

  /** Returns a read-only copy of the buckets. */
  public buckets(): PhaseBuckets {
    return { counts: [...this.counts], sumMicros: this.sumMicros };
  }

  private addBuckets({ counts, sumMicros }: PhaseBuckets): void {
    for (const [index, count] of counts.entries()) this.addToBucket(index, count);
    this.sumMicros += sumMicros;
  }

  private addToBucket(index: number, count: number): void {
    this.counts[index] = (this.counts[index] ?? 0) + count;
  }
}

// Uses a loop, because `findIndex` with a callback slows a recording down from 0.6 to 0.9 microseconds.
function findBucket(ms: number): number {
  let index = 0;
  while (index < bucketBoundsMs.length && ms > (bucketBoundsMs[index] ?? 0)) index += 1;
  return index;
}
