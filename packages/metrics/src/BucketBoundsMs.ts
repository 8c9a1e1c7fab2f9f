/** Upper bounds of the Prometheus buckets, in milliseconds. One more bucket counts all greater values. */
export const bucketBoundsMs: readonly number[] = Object.freeze([
  1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000, 10_000, 60_000,
]);
