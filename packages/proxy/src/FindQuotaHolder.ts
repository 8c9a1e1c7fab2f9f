import { findCellIndex } from '#assignment/FindCellIndex.js';
import { findKeyOwner } from '#assignment/FindKeyOwner.js';
import { formatCellKey } from '#assignment/FormatCellKey.js';
import type { Member } from '#assignment/Member.js';
import { findEntryByKey } from '#proxy/FindEntryByKey.js';
import { formatQuotaKey } from '#proxy/FormatQuotaKey.js';
import type { RoutingView } from '#proxy/RoutingView.js';

interface QuotaRoute {
  readonly service: string;
  readonly cellIndex: number;
  /** The quota holder; undefined if the cell is unknown or its shard has no owner. */
  readonly member: Member | undefined;
}

/** Finds the daemon that divides the limits of an entry; undefined if the entry is not in the catalogue. */
export function findQuotaHolder(view: RoutingView, entryKey: string): QuotaRoute | undefined {
  const entry = findEntryByKey(view.index, entryKey);
  const service = view.index?.services.get(entry?.service ?? '');
  if (entry === undefined || service === undefined) return undefined;
  const key = formatQuotaKey(entryKey);
  const cellIndex = findCellIndex(key, service.cells);
  const cell = view.cells.get(formatCellKey(service.name, cellIndex));
  const member = cell && findKeyOwner(cell, entry.homeRegions, key);
  return { service: service.name, cellIndex, member };
}
