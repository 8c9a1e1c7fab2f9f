import type { LogFields } from '#core/LogFields.js';
import { countKeys } from '#ranges/CountKeys.js';
import type { KeyRange } from '#ranges/KeyRange.js';
import type { RangeTransfer } from '#ranges/RangeTransfer.js';

/** Log fields for transferred keys; `own` are the ranges whose owner is this daemon's backend server. */
export function describeTransfer(transfers: readonly RangeTransfer[], own: readonly KeyRange[]): LogFields {
  return {
    step: 'move',
    keys: countKeys(transfers),
    ownKeys: countKeys(own),
    from: transfers[0]?.from,
    to: transfers.at(-1)?.to,
    receivers: new Set(transfers.map(({ owner }) => owner.serverId)).size,
  };
}
