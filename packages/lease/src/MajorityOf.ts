/** Returns the smallest number of `count` witnesses of which any two sets have a member in common. */
export function majorityOf(count: number): number {
  return Math.floor(count / 2) + 1;
}
