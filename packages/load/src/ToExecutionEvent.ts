import { formatPlacement } from '#assignment/FormatPlacement.js';
import type { CatalogueIndex } from '#catalogue/CatalogueIndex.js';
import { findEntry } from '#catalogue/FindEntry.js';
import type { ExecutionEvent } from '#load/ExecutionEvent.js';
import type { RunRecord } from '#standin/RunRecord.js';

/** Converts a record of a stand-in backend server to a history event, whose key includes service and placement. */
export function toExecutionEvent(record: RunRecord, index: CatalogueIndex): ExecutionEvent {
  const { requestId, service, team, id, serverId, token, startMs, endMs } = record;
  const entry = findEntry(index, team, service, record.class);
  const placement = formatPlacement(entry?.homeRegions ?? []);
  const key = token === 0 ? '' : `${service}/${placement}/${record.key}`;
  return {
    type: 'order',
    requestId,
    team,
    key,
    idempotencyKey: id,
    serverId,
    token,
    startMs,
    endMs: endMs === 0 ? Number.POSITIVE_INFINITY : endMs,
  };
}
