/** Key whose owner holds the limits of a catalogue entry; see `entryKey`. */
export function formatQuotaKey(entryKey: string): string {
  return `quota/${entryKey}`;
}
