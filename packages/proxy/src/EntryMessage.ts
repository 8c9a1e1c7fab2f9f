import type { IncomingMessage, ServerResponse } from 'node:http';
import type { QuotaGrant } from '#admission/QuotaGrant.js';
import type { CatalogueUpdate } from '#control/CatalogueUpdate.js';
import type { CellUpdate } from '#control/CellUpdate.js';
import type { IntentUpdate } from '#control/IntentUpdate.js';
import type { DeliveryCounts } from '#delivery/DeliveryCounts.js';
import type { Outcome } from '#delivery/Outcome.js';
import type { PendingReceipt } from '#delivery/PendingReceipt.js';
import type { ExchangeEvent } from '#proxy/ExchangeEvent.js';
import type { RoutedRequestEvent } from '#proxy/RoutedRequestEvent.js';

/** Messages that the entry task receives. */
export type EntryMessage =
  | CatalogueUpdate
  | CellUpdate
  | IntentUpdate
  | { readonly type: 'request'; readonly req: IncomingMessage; readonly res: ServerResponse }
  | { readonly type: 'bodyRead'; readonly exchangeId: string; readonly body: Buffer }
  | {
      readonly type: 'order';
      readonly exchangeId: string;
      readonly attempt: number;
      readonly event: RoutedRequestEvent;
    }
  | { readonly type: 'exchange'; readonly exchangeId: string; readonly event: ExchangeEvent }
  | { readonly type: 'receiptEnded'; readonly receipt: PendingReceipt; readonly outcome: Outcome }
  | { readonly type: 'slice'; readonly slice: QuotaGrant }
  | { readonly type: 'admissionDue'; readonly requestId: string }
  | { readonly type: 'tick' }
  | { readonly type: 'counts'; readonly reply: (counts: readonly DeliveryCounts[]) => void }
  | { readonly type: 'close'; readonly reply: () => void };
