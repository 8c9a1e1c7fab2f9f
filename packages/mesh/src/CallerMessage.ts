import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { CallerLimits } from '#routes/CallerLimits.js';
import type { CallerBodyFault } from '#mesh/CallerBodyFault.js';
import type { CallerBodySignal } from '#mesh/CallerBodySignal.js';
import type { CallerReply } from '#mesh/CallerReply.js';
import type { ConnectionSide } from '#mesh/ConnectionSide.js';

/** HTTP events, replies and settings that `CallerTask` handles. */
export type CallerMessage =
  | { readonly type: 'connected'; readonly socket: Socket }
  | { readonly type: 'request'; readonly req: IncomingMessage; readonly res: ServerResponse }
  | { readonly type: 'body'; readonly exchange: number; readonly signal: CallerBodySignal }
  /** The body of a request cannot be awaited any longer. */
  | { readonly type: 'refuse'; readonly exchange: number; readonly fault: CallerBodyFault }
  /** The rest of a refused request's body did not arrive in time. */
  | { readonly type: 'discardExpired'; readonly exchange: number }
  | { readonly type: 'replied'; readonly exchange: number; readonly reply: CallerReply }
  /** The last byte of a response was handed to the operating system, or, if not `written`, its connection was destroyed. */
  | { readonly type: 'flushed'; readonly exchange: number; readonly written: boolean }
  /** Bytes on a connection break the protocol; `code` is the error code of Node.js. */
  | { readonly type: 'malformed'; readonly socket: Socket; readonly code: string }
  /** A connection has ended; `by` is the side that ended it first. */
  | { readonly type: 'closed'; readonly socket: Socket; readonly by: ConnectionSide }
  /** A connection was idle for its time limit, or a response on it made no progress. */
  | { readonly type: 'timedOut'; readonly socket: Socket }
  /** Connections that send bytes without a request are to be found. */
  | { readonly type: 'checkHeads' }
  | { readonly type: 'limits'; readonly limits: CallerLimits }
  /** The daemon shuts down: connections are closed after their last response. */
  | { readonly type: 'stopping' }
  /** Requests whose body has not arrived are refused, and so are new ones with a body. */
  | { readonly type: 'refusing' }
  /** The process ends: no more connections are accepted, and those without open requests end. */
  | { readonly type: 'ending' }
  /** Requests that had arrived when the process began to end have been read. */
  | { readonly type: 'readBeforeEnd' };
