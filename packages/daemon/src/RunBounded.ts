/** Runs `work` for each item, at most `maxConcurrent` at once; resolves with the results in the order of items. */
export async function runBounded<T, R>(
  items: readonly T[],
  maxConcurrent: number,
  work: (item: T) => Promise<R>,
): Promise<readonly R[]> {
  const results = new Map<number, R>();
  const iterator = items.entries();
  const runNext = async (): Promise<void> => {
    for (const [index, item] of iterator) results.set(index, await work(item));
  };
  await Promise.all(Array.from({ length: Math.min(maxConcurrent, items.length) }, runNext));
  return items.map((_, index) => results.get(index) as R);
}
