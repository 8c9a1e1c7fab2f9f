/** Returns the key of a cell in maps such as that of `putCell`. */
export function formatCellKey(service: string, index: number): string {
  return `${service}/${index}`;
}
