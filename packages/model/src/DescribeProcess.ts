import type { FenceState } from '#lease/FenceState.js';
import { absent } from '#model/Absent.js';
import { encodeNonce } from '#model/EncodeNonce.js';
import type { ModelCell } from '#model/ModelCell.js';
import type { ModelParts } from '#model/ModelParts.js';
import type { ModelProcess } from '#model/ModelProcess.js';
import type { ProcessText } from '#model/ProcessText.js';
import { toText } from '#model/ToText.js';

const HOLDER_VALUES = ['idle', 'registering', 'held', 'superseded'];
const WRITE_VALUES = ['open', 'applied', 'refused'];

/** Describes a process that knows `count` witnesses. */
export function describeProcess(
  process: ModelProcess,
  cells: ModelParts['cells'],
  count: number,
): ProcessText {
  const plain = processText(process, (cell) => cells.describe(cell).key);
  const swapped = processText(process, (cell) => cells.describe(cell).swapped);
  const links = Array.from({ length: count }, (_, index) => {
    const promises = process.fences.flatMap((fence) => promiseNumbers(fence, String(index)));
    return toText([...linkNumbers(process, String(index)), ...promises]);
  });
  const key = `${process.server}${process.name}${plain}/${links.join('/')}`;
  return { key, plain, swapped, links };
}

function processText(process: ModelProcess, cellText: (cell: ModelCell) => string): string {
  const { write, fences, records } = process;
  const writeText =
    write === undefined
      ? '-'
      : toText([Number(write.kind === 'move'), write.base, WRITE_VALUES.indexOf(write.status)]) +
        cellText(write.cell);
  const fenceNumbers = fences.flatMap(({ value, context }) => [
    context.fence.id,
    Number(value === 'satisfied'),
  ]);
  const head = [Number(process.isLapsed), process.releasedToken, records.knownSince, Number(records.hasRun)];
  return (
    toText(head) +
    cellText(process.view) +
    writeText +
    toText([...holderNumbers(process), fences.length, ...fenceNumbers])
  );
}

function holderNumbers({ holder }: ModelProcess): readonly number[] {
  if (holder === undefined) return [];
  const { epoch, startedMs, writeStartedMs, leaseEndMs, promisedEpoch } = holder.context;
  const value = HOLDER_VALUES.indexOf(holder.value);
  return [value, epoch, startedMs, writeStartedMs ?? absent, leaseEndMs, promisedEpoch];
}

function linkNumbers({ holder }: ModelProcess, witness: string): readonly number[] {
  if (holder === undefined) return [];
  const link = holder.context.links.find((other) => other.witness === witness);
  return link === undefined ? [absent, absent] : [encodeNonce(link.nonce), link.grantedSentAtMs ?? absent];
}

function promiseNumbers({ context }: FenceState, witness: string): readonly number[] {
  const promise = context.promises.find((other) => other.witness === witness);
  return promise === undefined ? [absent, absent] : [promise.promisedSentAtMs ?? absent, promise.expiryMs];
}
