import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Either } from 'purify-ts';
import type { RouterError } from '#core/RouterError.js';

/** Commands of the chart to the `AdminTask`. */
export type AdminCommand =
  | { readonly type: 'open' }
  | {
      readonly type: 'report';
      readonly reply: (port: Either<RouterError, number>) => void;
      readonly port: Either<RouterError, number>;
    }
  | { readonly type: 'answer'; readonly req: IncomingMessage; readonly res: ServerResponse }
  | { readonly type: 'close' };
