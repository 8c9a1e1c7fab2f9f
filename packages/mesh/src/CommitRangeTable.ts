import type { Clock } from '#core/Clock.js';
import type { Logger } from '#core/Logger.js';
import type { RangeTable } from '#ranges/RangeTable.js';
import type { CollectionItem } from '#store/CollectionItem.js';
import type { CollectionStore } from '#store/CollectionStore.js';
import { collections } from '#mesh/Collections.js';
import { rangeTableCodec } from '#mesh/RangeTableCodec.js';

const RETRY_DELAY_MS = 250;

/**
 * Writes a table on the condition that the stored one is at `ifRevision`, and returns the table stored afterwards: the
 * written one, or that of another writer. If the write gets no reply, it may have been carried out; the table is then
 * read until the store replies.
 */
export async function commitRangeTable(
  store: CollectionStore,
  clock: Clock,
  logger: Logger,
  next: RangeTable,
  ifRevision: number,
): Promise<CollectionItem | undefined> {
  const put = await store.put(collections.ranges, next.service, rangeTableCodec.encode(next), ifRevision);
  if (put.isRight()) {
    const result = put.unsafeCoerce();
    if (result.type === 'accepted') return result.item;
    // A caller that cannot decode the stored table would write again at once.
    if (!isReadable(result.current)) await pause(clock);
    return result.current;
  }
  put.ifLeft((err) => logger.log('tableNotWritten', { step: 'store', code: err.fields.code }));
  for (;;) {
    await pause(clock);
    const read = await store.get(collections.ranges, next.service);
    if (read.isRight()) return read.unsafeCoerce();
  }
}

function isReadable(item: CollectionItem | undefined): boolean {
  return item !== undefined && rangeTableCodec.decode(item.value).isRight();
}

function pause(clock: Clock): Promise<void> {
  return new Promise((resolve) => clock.schedule(RETRY_DELAY_MS, resolve));
}
