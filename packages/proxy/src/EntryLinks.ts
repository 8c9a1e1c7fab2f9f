import type { ForwardMessage } from '#proxy/ForwardMessage.js';
import type { OwnerMessage } from '#proxy/OwnerMessage.js';
import type { QuotaMessage } from '#proxy/QuotaMessage.js';
import type { ReceiptMessage } from '#proxy/ReceiptMessage.js';

/** Functions by which the entry task sends messages to the other tasks of its daemon. */
export interface EntryLinks {
  readonly postToOwner: (message: OwnerMessage) => void;
  readonly postToForward: (message: ForwardMessage) => void;
  readonly postToQuota: (message: QuotaMessage) => void;
  readonly postToReceipts: (message: ReceiptMessage) => void;
}
