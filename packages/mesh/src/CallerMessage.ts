import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { CallerLimits } from '#routes/CallerLimits.js';
import type { CallerReply } from '#mesh/CallerReply.js';

/** HTTP events, replies and settings that `CallerTask` handles. */
export type CallerMessage =
  | { readonly type: 'request'; readonly req: IncomingMessage; readonly res: ServerResponse }
  /** The body of a request was read. */
  | { readonly type: 'read'; readonly exchange: number; readonly body: Buffer }
  | { readonly type: 'replied'; readonly exchange: number; readonly reply: CallerReply }
  | { readonly type: 'closed'; readonly socket: Socket }
  | { readonly type: 'limits'; readonly limits: CallerLimits }
  /** The daemon shuts down: connections are closed after their last response. */
  | { readonly type: 'stopping' };
