import type { PromiseRequest } from '#lease/PromiseRequest.js';

/** Commands of a fence to its task. */
export type FenceCommand =
  | { readonly type: 'sendPromise'; readonly witness: string; readonly request: PromiseRequest }
  /** The new owner may act as far as this fence is concerned; holds from here on. */
  | { readonly type: 'satisfied'; readonly fenceId: number };
