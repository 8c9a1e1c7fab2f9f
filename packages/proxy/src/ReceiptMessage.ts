import type { ServerResponse } from 'node:http';
import type { PendingReceipt } from '#delivery/PendingReceipt.js';

/** Messages that the receipt task receives. */
export type ReceiptMessage =
  | { readonly type: 'expect'; readonly receipt: PendingReceipt }
  | {
      readonly type: 'confirm';
      readonly id: string;
      readonly team: string;
      readonly bytes: number;
      readonly res: ServerResponse;
    }
  | { readonly type: 'tick' };
