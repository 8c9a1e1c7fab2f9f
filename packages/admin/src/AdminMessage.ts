import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Either } from 'purify-ts';
import type { RouterError } from '#core/RouterError.js';

/** Messages to the `AdminTask`; their types are the events of its chart. */
export type AdminMessage =
  | { readonly type: 'start'; readonly reply: (port: Either<RouterError, number>) => void }
  | { readonly type: 'listening'; readonly port: number }
  | { readonly type: 'failed'; readonly error: Error }
  | { readonly type: 'request'; readonly req: IncomingMessage; readonly res: ServerResponse }
  | { readonly type: 'stop' };
