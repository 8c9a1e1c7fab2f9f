import { absent } from '#model/Absent.js';
import type { ModelCell } from '#model/ModelCell.js';
import { numberings } from '#model/Numberings.js';
import { toText } from '#model/ToText.js';

/** Describes a cell in both numberings of servers 1 and 2. */
export function describeCell(cell: ModelCell): { readonly key: string; readonly swapped: string } {
  return { key: cellText(cell, numberings.plain), swapped: cellText(cell, numberings.swapped) };
}

function cellText(cell: ModelCell, order: readonly number[]): string {
  const { version, owner, token, fences, epoch, set, gone, records } = cell;
  return toText([
    version,
    order.indexOf(owner),
    token,
    epoch,
    set,
    ...gone.map((_, position) => Number(gone[order[position] ?? 0])),
    ...(records === undefined ? [absent] : [records.knownSince, Number(records.hasRun)]),
    fences.length,
    ...fences.flatMap((fence) => [fence.id, order.indexOf(fence.server), fence.epoch, fence.set]),
  ]);
}
