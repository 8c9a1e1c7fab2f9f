import type { LogEntry } from '#cli/LogEntry.js';

const PAIR = /([A-Za-z][A-Za-z0-9]*)=("(?:[^"\\]|\\.)*"|\S*)/g;

/** Parses one line of a log; undefined if it has no time or no event. */
export function readLogEntry(file: string, text: string): LogEntry | undefined {
  const pairs = [...text.matchAll(PAIR)].map(([, name = '', value = '']) => [name, unquote(value)] as const);
  const fields = new Map(pairs);
  const atMs = Date.parse(fields.get('time') ?? '');
  const event = fields.get('event');
  return event === undefined || Number.isNaN(atMs) ? undefined : { file, atMs, event, fields, text };
}

function unquote(value: string): string {
  if (!value.startsWith('"')) return value;
  try {
    return String(JSON.parse(value));
  } catch {
    // The value of a truncated line is returned as it is.
    return value;
  }
}
