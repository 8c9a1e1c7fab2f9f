import { array, Codec, number, optional, Left, Right, string, tuple, type Either } from 'purify-ts';
import { keySpace } from '#ranges/KeySpace.js';
import type { Owner } from '#ranges/Owner.js';
import type { RangeRow } from '#ranges/RangeRow.js';
import type { RangeTable } from '#ranges/RangeTable.js';

/**
 * The stored form. Each daemon reads the whole table at each change over a link of a few Mbit/s, so owners are written
 * once, and a row ends where the next one begins.
 */
const storedTable = Codec.interface({
  service: string,
  lastEpoch: number,
  fences: optional(number),
  /** Id of the daemon, term of its lease, run of its backend server. */
  owners: array(tuple([string, number, string])),
  /** First key, index of the owner, epoch, and the handover token unless it is empty. */
  rows: array(unknownRow()),
});

type StoredRow = readonly [from: number, owner: number, epoch: number, handover?: string];

/** Encodes and decodes a `RangeTable` as it is stored. */
export const rangeTableCodec: Codec<RangeTable> = Codec.custom({ decode: decodeTable, encode: encodeTable });

function unknownRow(): Codec<StoredRow> {
  return Codec.custom({ decode: decodeRow, encode: (row) => row });
}

function decodeRow(value: unknown): Either<string, StoredRow> {
  if (!Array.isArray(value)) return Left('a row is not a list');
  const [from, owner, epoch, handover = ''] = value as readonly unknown[];
  const isRow = Number.isInteger(from) && Number.isInteger(owner) && Number.isInteger(epoch);
  return isRow && typeof handover === 'string'
    ? Right([from as number, owner as number, epoch as number, handover])
    : Left('a row is malformed');
}

function decodeTable(value: unknown): Either<string, RangeTable> {
  return storedTable.decode(value).chain(({ service, lastEpoch, fences, owners, rows }) => {
    const decoded = rows.map((row, index) => toRow(row, rows[index + 1], owners));
    const isWhole = rows[0]?.[0] === keySpace.from && decoded.every((row) => row !== undefined);
    return isWhole
      ? Right({ service, lastEpoch, ...(fences === undefined ? {} : { fences }), rows: decoded })
      : Left('the rows leave keys out, overlap or name no owner');
  });
}

function toRow(
  [from, owner, epoch, handover = '']: StoredRow,
  next: StoredRow | undefined,
  owners: readonly (readonly [string, number, string])[],
): RangeRow | undefined {
  const found = owners[owner];
  const to = next === undefined ? keySpace.to : next[0] - 1;
  if (found === undefined || to < from) return undefined;
  const [serverId, term, incarnation] = found;
  return { from, to, serverId, term, incarnation, epoch, handover };
}

function encodeTable({ service, lastEpoch, fences, rows }: RangeTable): unknown {
  const owners = new Map(rows.map((row) => [nameOf(row), row]));
  const indexes = new Map([...owners.keys()].map((name, index) => [name, index]));
  return {
    service,
    lastEpoch,
    ...(fences === undefined ? {} : { fences }),
    owners: [...owners.values()].map(({ serverId, term, incarnation }) => [serverId, term, incarnation]),
    rows: rows.map((row) => {
      const stored = [row.from, indexes.get(nameOf(row)), row.epoch];
      return row.handover === '' ? stored : [...stored, row.handover];
    }),
  };
}

function nameOf({ serverId, term, incarnation }: Owner): string {
  return `${serverId} ${term} ${incarnation}`;
}
