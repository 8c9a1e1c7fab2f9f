import type { FenceState } from '#lease/FenceState.js';
import { absent } from '#model/Absent.js';
import { encodeNonce } from '#model/EncodeNonce.js';
import type { ModelCell } from '#model/ModelCell.js';
import type { ModelParts } from '#model/ModelParts.js';
import type { ModelProcess } from '#model/ModelProcess.js';
import type { ProcessText } from '#model/ProcessText.js';
import { encodeNumbers } from '#model/EncodeNumbers.js';

const HOLDER_STATES = ['idle', 'registering', 'held', 'superseded'];
const WRITE_STATUSES = ['open', 'applied', 'refused'];

/** Describes a process by a key, in a model with `count` witnesses. */
export function describeProcess(
  process: ModelProcess,
  cells: ModelParts['cells'],
  count: number,
): ProcessText {
  const plain = encodeProcess(process, (cell) => cells.describe(cell).key);
  const swapped = encodeProcess(process, (cell) => cells.describe(cell).swapped);
  const links = Array.from({ length: count }, (_, index) => {
    const promises = process.fences.flatMap((fence) => listPromiseNumbers(fence, String(index)));
    return encodeNumbers([...listLinkNumbers(process, String(index)), ...promises]);
  });
  const key = `${process.server}${process.name}${plain}/${links.join('/')}`;
  return { key, plain, swapped, links };
}

function encodeProcess(process: ModelProcess, encodeCell: (cell: ModelCell) => string): string {
  const { write, fences, records } = process;
  const writeText =
    write === undefined
      ? '-'
      : encodeNumbers([
          Number(write.kind === 'move'),
          write.baseVersion,
          WRITE_STATUSES.indexOf(write.status),
        ]) + encodeCell(write.cell);
  const fenceNumbers = fences.flatMap(({ value, context }) => [
    context.fence.id,
    Number(value === 'satisfied'),
  ]);
  const head = [Number(process.isLapsed), process.releasedToken, records.knownSince, Number(records.hasRun)];
  return (
    encodeNumbers(head) +
    encodeCell(process.view) +
    writeText +
    encodeNumbers([...listHolderNumbers(process), fences.length, ...fenceNumbers])
  );
}

function listHolderNumbers({ holder }: ModelProcess): readonly number[] {
  if (holder === undefined) return [];
  const { epoch, startedMs, writeStartedMs, leaseEndMs, promisedEpoch } = holder.context;
  const value = HOLDER_STATES.indexOf(holder.value);
  return [value, epoch, startedMs, writeStartedMs ?? absent, leaseEndMs, promisedEpoch];
}

function listLinkNumbers({ holder }: ModelProcess, witness: string): readonly number[] {
  if (holder === undefined) return [];
  const link = holder.context.links.find((other) => other.witness === witness);
  return link === undefined ? [absent, absent] : [encodeNonce(link.nonce), link.grantedSentAtMs ?? absent];
}

function listPromiseNumbers({ context }: FenceState, witness: string): readonly number[] {
  const promise = context.promises.find((other) => other.witness === witness);
  return promise === undefined ? [absent, absent] : [promise.promisedSentAtMs ?? absent, promise.expiryMs];
}
