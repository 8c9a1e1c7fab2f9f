import type { IncomingMessage, ServerResponse } from 'node:http';
import type { CatalogueUpdate } from '#control/CatalogueUpdate.js';
import type { CellUpdate } from '#control/CellUpdate.js';
import type { RoutedRequestEvent } from '#proxy/RoutedRequestEvent.js';

/** Messages that the hop task receives. */
export type HopMessage =
  | CatalogueUpdate
  | CellUpdate
  | { readonly type: 'request'; readonly req: IncomingMessage; readonly res: ServerResponse }
  | { readonly type: 'order'; readonly orderId: string; readonly event: RoutedRequestEvent }
  | { readonly type: 'callerGone'; readonly orderId: string }
  | { readonly type: 'close'; readonly reply: () => void };
