/** Key of a catalogue entry in the limiters; header values contain no line feed, so it is unambiguous. */
export function entryKey(owner: string, service: string, requestClass: string): string {
  return `${owner}\n${service}\n${requestClass}`;
}
