import type { HedgeLoad } from '#hedging/HedgeLoad.js';

/** Result of one copy of a request, as far as hedging distinguishes it. */
export type HedgeResult =
  | {
      readonly type: 'answered';
      readonly response: { readonly status: number };
      readonly load: HedgeLoad | undefined;
    }
  | { readonly type: 'refused' | 'lost'; readonly load: HedgeLoad | undefined };
