import { Codec, Left, Right, type Either } from 'purify-ts';
import { createListCodec } from '#codec/CreateListCodec.js';
import { createObjectCodec } from '#codec/CreateObjectCodec.js';
import { createOptionalCodec } from '#codec/CreateOptionalCodec.js';
import { describeValue } from '#codec/DescribeValue.js';
import { idCodec } from '#codec/IdCodec.js';
import { labelCodec } from '#codec/LabelCodec.js';
import { ordinalCodec } from '#codec/OrdinalCodec.js';
import { keyCodec } from '#ranges/KeyCodec.js';
import { fullKeyRange } from '#ranges/FullKeyRange.js';
import type { RangeOwner } from '#ranges/RangeOwner.js';
import type { RangeRow } from '#ranges/RangeRow.js';
import type { RangeTable } from '#ranges/RangeTable.js';

/** Rows of a table in which each key has its own row. */
const MAX_ROWS = fullKeyRange.to - fullKeyRange.from + 1;

type StoredOwner = readonly [serverId: string, term: number, incarnation: string];

type StoredRow = readonly [from: number, owner: number, epoch: number, handover?: string];

/**
 * Stored format. Each daemon reads the whole table after each change over a link of a few Mbit/s. To keep it short, each
 * owner is written once, and the end of a row is implied by the next row.
 */
const storedTableCodec = createObjectCodec({
  service: idCodec,
  lastEpoch: ordinalCodec,
  fences: createOptionalCodec(ordinalCodec),
  /** Server id of the daemon, term of its lease, incarnation of its backend server. */
  owners: createListCodec(
    Codec.custom<StoredOwner>({ decode: decodeOwner, encode: (owner) => owner }),
    MAX_ROWS,
  ),
  /** First key, index of the owner in `owners`, epoch, and the handover token unless it is empty. */
  rows: createListCodec(Codec.custom<StoredRow>({ decode: decodeRow, encode: (row) => row }), MAX_ROWS),
});

/** Encodes and decodes the stored format of a `RangeTable`. */
export const rangeTableCodec: Codec<RangeTable> = Codec.custom({ decode: decodeTable, encode: encodeTable });

function decodeOwner(value: unknown): Either<string, StoredOwner> {
  if (!Array.isArray(value)) return Left(`expected an owner, received ${describeValue(value)}`);
  const [rawId, rawTerm, rawIncarnation] = value as readonly unknown[];
  return idCodec
    .decode(rawId)
    .chain((serverId) =>
      ordinalCodec
        .decode(rawTerm)
        .chain((term) =>
          labelCodec.decode(rawIncarnation).map((incarnation): StoredOwner => [serverId, term, incarnation]),
        ),
    );
}

function decodeRow(value: unknown): Either<string, StoredRow> {
  if (!Array.isArray(value)) return Left(`expected a row, received ${describeValue(value)}`);
  const [rawFrom, rawOwner, rawEpoch, rawHandover = ''] = value as readonly unknown[];
  return keyCodec
    .decode(rawFrom)
    .chain((from) =>
      ordinalCodec
        .decode(rawOwner)
        .chain((owner) =>
          ordinalCodec
            .decode(rawEpoch)
            .chain((epoch) =>
              labelCodec.decode(rawHandover).map((handover): StoredRow => [from, owner, epoch, handover]),
            ),
        ),
    );
}

function decodeTable(value: unknown): Either<string, RangeTable> {
  return storedTableCodec.decode(value).chain(({ service, lastEpoch, fences, owners, rows }) => {
    const decoded = rows.map((row, index) => toRow(row, rows[index + 1], owners));
    const isWhole = rows[0]?.[0] === fullKeyRange.from && decoded.every((row) => row !== undefined);
    return isWhole
      ? Right({ service, lastEpoch, ...(fences === undefined ? {} : { fences }), rows: decoded })
      : Left('the rows leave keys out, overlap or name no owner');
  });
}

function toRow(
  [from, owner, epoch, handover = '']: StoredRow,
  next: StoredRow | undefined,
  owners: readonly StoredOwner[],
): RangeRow | undefined {
  const found = owners[owner];
  const to = next === undefined ? fullKeyRange.to : next[0] - 1;
  if (found === undefined || to < from) return undefined;
  const [serverId, term, incarnation] = found;
  return { from, to, serverId, term, incarnation, epoch, handover };
}

function encodeTable({ service, lastEpoch, fences, rows }: RangeTable): unknown {
  const owners = new Map(rows.map((row) => [formatOwner(row), row]));
  const indexes = new Map([...owners.keys()].map((name, index) => [name, index]));
  return {
    service,
    lastEpoch,
    ...(fences === undefined ? {} : { fences }),
    owners: [...owners.values()].map(({ serverId, term, incarnation }) => [serverId, term, incarnation]),
    rows: rows.map((row) => {
      const stored = [row.from, indexes.get(formatOwner(row)), row.epoch];
      return row.handover === '' ? stored : [...stored, row.handover];
    }),
  };
}

function formatOwner({ serverId, term, incarnation }: RangeOwner): string {
  return `${serverId} ${term} ${incarnation}`;
}
