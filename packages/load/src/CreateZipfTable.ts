/** Returns the cumulative probabilities of `count` ranks, where rank `r` (from 0) has weight `(r + 1) ** -exponent`. */
export function createZipfTable(count: number, exponent: number): readonly number[] {
  const weights = Array.from({ length: count }, (_, rank) => (rank + 1) ** -exponent);
  const total = weights.reduce((sum, weight) => sum + weight, 0);
  let sum = 0;
  return weights.map((weight) => (sum += weight / total));
}
