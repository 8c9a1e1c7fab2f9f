import { build, type Histogram } from 'hdr-histogram-js';

// Two digits bound the error at 1 %; three take eight times the memory.
const SIGNIFICANT_DIGITS = 2;

// Covers 16 ms at first and grows with the largest value, so that most series stay small.
const INITIAL_LIMIT_US = 16_384;

/** Makes an empty histogram of microseconds. */
export function buildHistogram(): Histogram {
  return build({
    bitBucketSize: 32,
    autoResize: true,
    highestTrackableValue: INITIAL_LIMIT_US,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
  });
}
