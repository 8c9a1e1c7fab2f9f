/** Invalid values that a JSON document may contain instead of a count. */
export const invalidCounts: readonly unknown[] = Object.freeze([
  JSON.parse('1e400'),
  -1,
  0.5,
  1e300,
  2 ** 53 + 1,
  NaN,
  null,
  '4',
]);
