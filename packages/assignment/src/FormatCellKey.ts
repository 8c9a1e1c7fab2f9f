/** Returns the key by which maps hold a cell. */
export function formatCellKey(service: string, index: number): string {
  return `${service}/${index}`;
}
