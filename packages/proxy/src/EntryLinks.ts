import type { ForwardMessage } from '#proxy/ForwardMessage.js';
import type { OwnerMessage } from '#proxy/OwnerMessage.js';
import type { QuotaMessage } from '#proxy/QuotaMessage.js';
import type { ReceiptMessage } from '#proxy/ReceiptMessage.js';

/** The tasks that the entry task posts to. */
export interface EntryLinks {
  readonly postToOwner: (message: OwnerMessage) => void;
  readonly postToForward: (message: ForwardMessage) => void;
  readonly postToQuota: (message: QuotaMessage) => void;
  readonly postToReceipts: (message: ReceiptMessage) => void;
}
