import type { Either } from 'purify-ts';
import { Left, Right } from 'purify-ts';
import type { CollectionItem } from '#store/CollectionItem.js';
import type { LeaseRecord } from '#mesh/LeaseRecord.js';
import { leaseRecordCodec } from '#mesh/LeaseRecordCodec.js';

/** Reads a stored lease record. The error says why it says nothing of the daemon under whose name it stands. */
export function readLease({ name, value }: CollectionItem): Either<string, LeaseRecord> {
  return leaseRecordCodec
    .decode(value)
    .chain((record) =>
      record.serverId === name ? Right(record) : Left('the record is that of another server'),
    );
}
