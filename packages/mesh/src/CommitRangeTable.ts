import type { Clock } from '#core/Clock.js';
import type { Logger } from '#core/Logger.js';
import type { RangeTable } from '#ranges/RangeTable.js';
import type { CollectionItem } from '#store/CollectionItem.js';
import type { CollectionStore } from '#store/CollectionStore.js';
import { collections } from '#mesh/Collections.js';
import { rangeTableCodec } from '#mesh/RangeTableCodec.js';

const RETRY_MS = 250;

/**
 * Writes a table under a condition and returns the table that stands then: the written one, or another writer's. A write
 * without a reply, which may have been carried out, is settled by reading until the store answers.
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
    // A caller that cannot adopt what stands there would write again at once.
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
  return new Promise((resolve) => clock.schedule(RETRY_MS, resolve));
}
