import type { HeldRow } from '#mesh/HeldRow.js';

/** Formats a row of keys as `from-to@epoch`. */
export function formatRow({ from, to, epoch }: HeldRow): string {
  return `${from}-${to}@${epoch}`;
}
