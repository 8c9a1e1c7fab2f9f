const COLUMN_GAP = '  ';

/** Formats rows in aligned columns below their headings; returns `(none)` if there are no rows. */
export function formatTextTable(headings: readonly string[], rows: readonly (readonly unknown[])[]): string {
  if (rows.length === 0) return '(none)';
  const cells = [headings.map((heading) => heading.toUpperCase()), ...rows.map((row) => row.map(formatCell))];
  const widths = headings.map((_, column) => Math.max(...cells.map((row) => row[column]?.length ?? 0)));
  const lines = cells.map((row) =>
    row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join(COLUMN_GAP),
  );
  return lines.map((line) => line.trimEnd()).join('\n');
}

function formatCell(value: unknown): string {
  if (typeof value === 'string') return value === '' ? '-' : value;
  if (typeof value === 'number') return Number.isInteger(value) ? String(value) : value.toFixed(1);
  return value === undefined ? '-' : JSON.stringify(value);
}
