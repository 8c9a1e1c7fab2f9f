import type { LogFields } from '#core/LogFields.js';

/** Values that need no quotes. */
const PLAIN_VALUE = /^[A-Za-z0-9_.:/*+@-]+$/;

/** Formats an event as one line of `key=value` pairs. Values with other characters are quoted and escaped as JSON. */
export function formatLogLine(event: string, fields: LogFields): string {
  const pairs = Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([key, value]) => `${key}=${formatValue(String(value))}`);
  return [`event=${event}`, ...pairs].join(' ');
}

function formatValue(text: string): string {
  return PLAIN_VALUE.test(text) ? text : JSON.stringify(text);
}
