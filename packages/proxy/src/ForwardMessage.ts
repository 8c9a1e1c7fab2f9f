import type { Member } from '#assignment/Member.js';
import type { RoutedRequest } from '#proxy/RoutedRequest.js';

/** Messages of the forward task. */
export type ForwardMessage =
  | { readonly type: 'forward'; readonly member: Member; readonly order: RoutedRequest }
  | { readonly type: 'cancel'; readonly orderId: string }
  | { readonly type: 'ended'; readonly orderId: string }
  | { readonly type: 'members'; readonly members: readonly Member[] };
