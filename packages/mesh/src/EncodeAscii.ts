/** Encodes a value as JSON in printable ASCII, which is valid in an HTTP header. */
export function encodeAscii(value: unknown): string {
  return JSON.stringify(value).replace(/[^\x20-\x7e]/g, escapeUnit);
}

function escapeUnit(unit: string): string {
  return `\\u${unit.charCodeAt(0).toString(16).padStart(4, '0')}`;
}
