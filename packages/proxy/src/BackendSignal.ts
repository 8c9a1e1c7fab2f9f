import type { BackendFacts } from '#proxy/BackendFacts.js';
import type { BackendOutcome } from '#proxy/BackendOutcome.js';
import type { RoutedRequestEvent } from '#proxy/RoutedRequestEvent.js';

/** Messages that the backend task sends to the owner task. */
export type BackendSignal =
  | { readonly type: 'backendFacts'; readonly facts: BackendFacts | undefined }
  | { readonly type: 'backendEvent'; readonly orderId: string; readonly event: RoutedRequestEvent }
  | { readonly type: 'backendDone'; readonly orderId: string; readonly outcome: BackendOutcome };
