import type { ServerResponse } from 'node:http';

/** Messages of `ReadinessTask`. */
export type ReadinessMessage =
  | { readonly type: 'ready'; readonly ready: boolean }
  | { readonly type: 'asked'; readonly res: ServerResponse };
