/** Upper bounds of the Prometheus buckets, in milliseconds; one more bucket holds everything above. */
export const bucketBoundsMs: readonly number[] = Object.freeze([
  1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000, 10_000, 60_000,
]);
