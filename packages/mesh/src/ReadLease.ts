import type { Either } from 'purify-ts';
import { Left, Right } from 'purify-ts';
import type { CollectionItem } from '#store/CollectionItem.js';
import type { LeaseRecord } from '#mesh/LeaseRecord.js';
import { leaseRecordCodec } from '#mesh/LeaseRecordCodec.js';

/** Decodes a stored lease record. Fails if it is malformed or contains the id of another server than its name. */
export function readLease({ name, value }: CollectionItem): Either<string, LeaseRecord> {
  return leaseRecordCodec
    .decode(value)
    .chain((record) =>
      record.serverId === name ? Right(record) : Left('the record is that of another server'),
    );
}
