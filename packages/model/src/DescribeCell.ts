import { absent } from '#model/Absent.js';
import type { ModelCell } from '#model/ModelCell.js';
import { numberings } from '#model/Numberings.js';
import { encodeNumbers } from '#model/EncodeNumbers.js';

/** Describes a cell by a key in both numberings of servers 1 and 2. */
export function describeCell(cell: ModelCell): { readonly key: string; readonly swapped: string } {
  return { key: encodeCell(cell, numberings.plain), swapped: encodeCell(cell, numberings.swapped) };
}

function encodeCell(cell: ModelCell, order: readonly number[]): string {
  const { version, owner, token, fences, epoch, witnessSet, takenOver, records } = cell;
  return encodeNumbers([
    version,
    order.indexOf(owner),
    token,
    epoch,
    witnessSet,
    ...takenOver.map((_, position) => Number(takenOver[order[position] ?? 0])),
    ...(records === undefined ? [absent] : [records.knownSince, Number(records.hasRun)]),
    fences.length,
    ...fences.flatMap((fence) => [fence.id, order.indexOf(fence.server), fence.epoch, fence.witnessSet]),
  ]);
}
