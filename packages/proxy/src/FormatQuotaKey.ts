/** Returns the key whose owner holds the limits of a catalogue entry; `entryKey` creates the argument. */
export function formatQuotaKey(entryKey: string): string {
  return `quota/${entryKey}`;
}
