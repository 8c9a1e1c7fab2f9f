/** Number of characters of a text that an error message shows. */
const SHOWN_LENGTH = 40;

/** Describes a received value briefly, without traversing it, because it may be huge or deeply nested. */
export function describeValue(value: unknown): string {
  if (value === null) return 'null';
  if (Array.isArray(value)) return `a list of ${value.length}`;
  switch (typeof value) {
    case 'number':
    case 'boolean':
      return String(value);
    case 'string':
      return value.length > SHOWN_LENGTH
        ? `a text of ${value.length} characters that begins with ${JSON.stringify(value.slice(0, SHOWN_LENGTH))}`
        : JSON.stringify(value);
    case 'object':
      return 'an object';
    default:
      return typeof value;
  }
}
