import { formatRow } from '#mesh/FormatRow.js';
import type { HeldRow } from '#mesh/HeldRow.js';

/** Rows that one log line names. */
const MAX_ROWS = 8;

/** Writes rows of keys for a log line, as `from-to@epoch`; rows beyond the first few are counted. */
export function formatRows(rows: readonly HeldRow[]): string {
  const named = rows.slice(0, MAX_ROWS).map(formatRow);
  const rest = rows.length - named.length;
  return rest > 0 ? `${named.join('/')}/+${rest}` : named.join('/');
}
