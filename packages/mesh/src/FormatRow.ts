import type { HeldRow } from '#mesh/HeldRow.js';

/** Writes a row of keys as `from-to@epoch`. */
export function formatRow({ from, to, epoch }: HeldRow): string {
  return `${from}-${to}@${epoch}`;
}
