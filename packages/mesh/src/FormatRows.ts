import { formatRow } from '#mesh/FormatRow.js';
import type { HeldRow } from '#mesh/HeldRow.js';

/** Number of rows that a log line lists. */
const MAX_ROWS = 8;

/** Formats rows of keys for a log line as `from-to@epoch`, and counts those beyond the limit. */
export function formatRows(rows: readonly HeldRow[]): string {
  const listed = rows.slice(0, MAX_ROWS).map(formatRow);
  const rest = rows.length - listed.length;
  return rest > 0 ? `${listed.join('/')}/+${rest}` : listed.join('/');
}
