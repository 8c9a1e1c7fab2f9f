import type { CrashMark } from '#admission/CrashMark.js';
import type { GrantedKeys } from '#mesh/GrantedKeys.js';
import type { BackendRequest } from '#mesh/BackendRequest.js';
import type { BackendResultCallback } from '#mesh/BackendResultCallback.js';
import type { Presence } from '#mesh/Presence.js';
import type { ServerLink } from '#mesh/ServerLink.js';
import type { ServerLinkSignal } from '#mesh/ServerLinkSignal.js';
import type { MeshView } from '#mesh/MeshView.js';

/** Messages to `ServerTask`. */
export type ServerMessage =
  | { readonly type: 'order'; readonly request: BackendRequest; readonly reply: BackendResultCallback }
  | { readonly type: 'cancel'; readonly id: string }
  | { readonly type: 'presence'; readonly presence: Presence }
  | { readonly type: 'granted'; readonly keys: GrantedKeys }
  | { readonly type: 'view'; readonly view: MeshView }
  | { readonly type: 'marks'; readonly marks: readonly CrashMark[] }
  | { readonly type: 'signal'; readonly link: ServerLink; readonly signal: ServerLinkSignal }
  /** The daemon stops and accepts no new requests. */
  | { readonly type: 'stopping' }
  /** The process ends: queued requests are refused. */
  | { readonly type: 'ending' }
  /** Opens a connection to find out whether the backend server's process still runs. */
  | { readonly type: 'probe' }
  | { readonly type: 'tick' };
