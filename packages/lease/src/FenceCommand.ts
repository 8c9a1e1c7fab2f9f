import type { PromiseRequest } from '#lease/PromiseRequest.js';

/** Commands of charts/fence.json to the task that runs it. */
export type FenceCommand =
  | { readonly type: 'sendPromise'; readonly witness: string; readonly request: PromiseRequest }
  /** This fence no longer keeps the new owner from using its shards; the command is never taken back. */
  | { readonly type: 'satisfied'; readonly fenceId: number };
