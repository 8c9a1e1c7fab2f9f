/** Returns service and index of a cell object's name; undefined for other names. */
export function parseCellName(
  name: string,
): { readonly service: string; readonly index: number } | undefined {
  const match = /^cells\/(.+)\/(\d+)$/.exec(name);
  return match?.[1] === undefined ? undefined : { service: match[1], index: Number(match[2]) };
}
