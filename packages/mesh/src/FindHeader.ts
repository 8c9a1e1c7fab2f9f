import type { HeaderPair } from '#mesh/HeaderPair.js';

/** Returns the value of the first header with this name, ignoring case. */
export function findHeader(headers: readonly HeaderPair[], name: string): string | undefined {
  const wanted = name.toLowerCase();
  return headers.find(([each]) => each.toLowerCase() === wanted)?.[1];
}
