/** Returns the placement of an entry: its home regions sorted and joined by `+`, or `*` for any region. */
export function formatPlacement(homeRegions: readonly string[]): string {
  return homeRegions.length === 0 ? '*' : [...new Set(homeRegions)].sort().join('+');
}
