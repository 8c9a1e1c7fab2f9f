import type { CrashMark } from '#admission/CrashMark.js';
import type { GrantedKeys } from '#mesh/GrantedKeys.js';
import type { Order } from '#mesh/Order.js';
import type { OrderReply } from '#mesh/OrderReply.js';
import type { Presence } from '#mesh/Presence.js';
import type { ServerLink } from '#mesh/ServerLink.js';
import type { ServerLinkSignal } from '#mesh/ServerLinkSignal.js';
import type { View } from '#mesh/View.js';

/** Messages of `ServerTask`. */
export type ServerMessage =
  | { readonly type: 'order'; readonly order: Order; readonly reply: OrderReply }
  | { readonly type: 'cancel'; readonly id: string }
  | { readonly type: 'presence'; readonly presence: Presence }
  | { readonly type: 'granted'; readonly keys: GrantedKeys }
  | { readonly type: 'view'; readonly view: View }
  | { readonly type: 'marks'; readonly marks: readonly CrashMark[] }
  | { readonly type: 'signal'; readonly link: ServerLink; readonly signal: ServerLinkSignal }
  /** The daemon ends: no new order is taken. */
  | { readonly type: 'stopping' }
  /** Finds out whether the backend server's process is still there. */
  | { readonly type: 'probe' }
  | { readonly type: 'tick' };
