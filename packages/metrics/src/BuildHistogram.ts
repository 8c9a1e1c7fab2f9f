import { build, type Histogram } from 'hdr-histogram-js';

// Two digits limit the error to 1 %. Three digits would take eight times the memory.
const SIGNIFICANT_DIGITS = 2;

// The histogram covers 16 ms at first and grows with its largest value, so that most series stay small.
const INITIAL_LIMIT_US = 16_384;

/** Creates an empty histogram of durations in microseconds. */
export function buildHistogram(): Histogram {
  return build({
    bitBucketSize: 32,
    autoResize: true,
    highestTrackableValue: INITIAL_LIMIT_US,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
  });
}
