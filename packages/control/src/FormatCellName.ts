/** Returns the name of a cell's object in the store. */
export function formatCellName(service: string, index: number): string {
  return `cells/${service}/${index}`;
}
