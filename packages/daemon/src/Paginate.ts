import type { Page } from '#admin/Page.js';
import type { PageRequest } from '#admin/PageRequest.js';

/** Sorts a list by key and returns one page of it. `after` is the key of the last item of the previous page. */
export function paginate<T>(
  items: readonly T[],
  keyOf: (item: T) => string,
  { after, limit }: PageRequest,
): Page<T> {
  const sorted = [...items].sort((left, right) => (keyOf(left) < keyOf(right) ? -1 : 1));
  const rest = sorted.filter((item) => after === '' || keyOf(item) > after);
  const page = rest.slice(0, limit);
  const last = page.at(-1);
  return { items: page, next: rest.length > limit && last !== undefined ? keyOf(last) : '' };
}
