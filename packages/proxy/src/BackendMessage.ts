import type { BackendFacts } from '#proxy/BackendFacts.js';
import type { FencedRequest } from '#proxy/FencedRequest.js';

/** Messages that the backend task receives. */
export type BackendMessage =
  | { readonly type: 'run'; readonly request: FencedRequest }
  | { readonly type: 'cancel'; readonly orderId: string }
  | { readonly type: 'announced'; readonly facts: BackendFacts }
  | { readonly type: 'grant'; readonly epoch: number; readonly leaseEndMs: number }
  | { readonly type: 'probe'; readonly incarnation: string }
  | { readonly type: 'connectionFailed'; readonly incarnation: string }
  | { readonly type: 'ended'; readonly orderId: string }
  | { readonly type: 'tick' };
