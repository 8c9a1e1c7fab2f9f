/** Formats a table as lines of aligned columns; numbers get two decimals and are aligned to the right. */
export function formatMeasurementTable(
  columns: readonly string[],
  rows: readonly (readonly (string | number)[])[],
): string {
  const lines = [
    columns,
    ...rows.map((row) => row.map((cell) => (typeof cell === 'number' ? cell.toFixed(2) : cell))),
  ];
  const widths = columns.map((_, index) => Math.max(...lines.map((line) => line[index]?.length ?? 0)));
  const format = (cell: string, index: number): string =>
    index === 0 ? cell.padEnd(widths[index] ?? 0) : cell.padStart(widths[index] ?? 0);
  return lines.map((line) => line.map(format).join('  ')).join('\n');
}
