import type { HeaderPair } from '#mesh/HeaderPair.js';

/** Value of the first header with this name, which is compared without regard to case. */
export function findHeader(headers: readonly HeaderPair[], name: string): string | undefined {
  const wanted = name.toLowerCase();
  return headers.find(([each]) => each.toLowerCase() === wanted)?.[1];
}
