import type { Member } from '#assignment/Member.js';
import type { RoutedRequest } from '#proxy/RoutedRequest.js';

/** Messages that the forward task receives. */
export type ForwardMessage =
  | { readonly type: 'forward'; readonly member: Member; readonly request: RoutedRequest }
  | { readonly type: 'cancel'; readonly orderId: string }
  | { readonly type: 'ended'; readonly orderId: string }
  | { readonly type: 'members'; readonly members: readonly Member[] };
