import type { ServerResponse } from 'node:http';

/** Messages to `ReadinessTask`. */
export type ReadinessMessage =
  | { readonly type: 'ready'; readonly ready: boolean }
  | { readonly type: 'asked'; readonly res: ServerResponse };
