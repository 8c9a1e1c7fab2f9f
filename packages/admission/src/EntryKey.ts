/**
 * Returns the key of a catalogue entry in the limiters. It is unambiguous, since header values contain no line feed.
 */
export function entryKey(owner: string, service: string, requestClass: string): string {
  return `${owner}\n${service}\n${requestClass}`;
}
