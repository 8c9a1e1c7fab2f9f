import { findCellIndex } from '#assignment/FindCellIndex.js';
import { findShard } from '#assignment/FindShard.js';
import { formatPlacement } from '#assignment/FormatPlacement.js';
import type { Member } from '#assignment/Member.js';
import { findEntryByKey } from '#proxy/FindEntryByKey.js';
import { formatQuotaKey } from '#proxy/FormatQuotaKey.js';
import type { RoutingView } from '#proxy/RoutingView.js';

interface QuotaRoute {
  readonly service: string;
  readonly cellIndex: number;
  /** The holder; undefined if the cell is unknown or names none. */
  readonly member: Member | undefined;
}

/** Finds the daemon that holds the limits of an entry, by its key; undefined if the catalogue lacks the entry. */
export function findQuotaHolder(view: RoutingView, entryKey: string): QuotaRoute | undefined {
  const entry = findEntryByKey(view.index, entryKey);
  const service = view.index?.services.get(entry?.service ?? '');
  if (entry === undefined || service === undefined) return undefined;
  const key = formatQuotaKey(entryKey);
  const cellIndex = findCellIndex(key, service.cells);
  const cell = view.cells.get(`${service.name}/${cellIndex}`);
  const owner = cell && findShard(cell, formatPlacement(entry.homeRegions), key)?.shard.owner;
  const member = cell?.members.find(({ serverId, state }) => serverId === owner && state !== 'gone');
  return { service: service.name, cellIndex, member };
}
