/** Returns the size of a majority of `count` witnesses; any two majorities have a witness in common. */
export function majorityOf(count: number): number {
  return Math.floor(count / 2) + 1;
}
