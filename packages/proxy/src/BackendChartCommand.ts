import type { BackendFacts } from '#proxy/BackendFacts.js';

/** Commands of the chart `backend.json`. */
export type BackendChartCommand =
  | { readonly type: 'connect'; readonly facts: BackendFacts }
  | { readonly type: 'disconnect' }
  | { readonly type: 'publish'; readonly facts: BackendFacts | undefined };
