import { formatPlacement } from '#assignment/FormatPlacement.js';
import type { Catalogue } from '#catalogue/Catalogue.js';

/** Lists the placements that a service's entries need; without entries, the placement that allows any region. */
export function listPlacements(catalogue: Catalogue | undefined, service: string): readonly string[] {
  const entries = catalogue?.entries.filter((entry) => entry.service === service) ?? [];
  if (entries.length === 0) return [formatPlacement([])];
  return [...new Set(entries.map((entry) => formatPlacement(entry.homeRegions)))];
}
