/** Groups items by a name. */
export function groupBy<T>(
  items: readonly T[],
  nameOf: (item: T) => string,
): ReadonlyMap<string, readonly T[]> {
  const groups = new Map<string, T[]>(); // eslint-disable-line no-restricted-syntax -- local result
  for (const item of items) {
    const name = nameOf(item);
    const group = groups.get(name);
    if (group === undefined) groups.set(name, [item]);
    else group.push(item);
  }
  return groups;
}
