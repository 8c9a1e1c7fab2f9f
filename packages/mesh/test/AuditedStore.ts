import type { Either } from 'purify-ts';
import type { RouterError } from '#core/RouterError.js';
import { computeTokenFloor } from '#ranges/ComputeTokenFloor.js';
import type { CollectionPutResult } from '#store/CollectionPutResult.js';
import { collections } from '#mesh/Collections.js';
import { rangeTableCodec } from '#mesh/RangeTableCodec.js';
import { MemoryCollectionStore } from '#standin/MemoryCollectionStore.js';
import type { TableAudit } from './TableAudit.js';

/** An in-memory store that reports each accepted write of a range table to an audit. */
export class AuditedStore extends MemoryCollectionStore {
  /** Whether answers name the era. */
  public readonly namesEra: boolean;
  private readonly audit: TableAudit;

  public constructor(audit: TableAudit, namesEra = false) {
    super();
    this.audit = audit;
    this.namesEra = namesEra;
  }

  public putAs(
    writer: string,
    collection: string,
    name: string,
    value: unknown,
    ifRevision: number,
  ): Promise<Either<RouterError, CollectionPutResult>> {
    const before = this.read(collection, name);
    const result = this.put(collection, name, value, ifRevision);
    const after = this.read(collection, name);
    if (collection === collections.ranges && after !== undefined && after !== before)
      this.audit.noteWrite(
        writer,
        rangeTableCodec.decode(before?.value).toMaybe().extract(),
        rangeTableCodec.decode(after.value).toMaybe().extract(),
        computeTokenFloor(this.restores),
      );
    return result;
  }
}
