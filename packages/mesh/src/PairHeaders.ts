import type { HeaderPair } from '#mesh/HeaderPair.js';

/** Converts a flat list of alternating header names and values into pairs. */
export function pairHeaders(raw: readonly string[]): readonly HeaderPair[] {
  return Array.from({ length: raw.length >> 1 }, (_, index): HeaderPair => [
    raw[2 * index] ?? '',
    raw[2 * index + 1] ?? '',
  ]);
}
