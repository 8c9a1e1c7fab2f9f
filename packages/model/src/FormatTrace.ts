/** Formats a trace as numbered lines. */
export function formatTrace(trace: readonly string[]): string {
  return trace.map((label, index) => `    ${index + 1}. ${label}`).join('\n');
}
