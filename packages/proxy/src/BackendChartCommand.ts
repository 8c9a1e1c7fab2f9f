import type { BackendFacts } from '#proxy/BackendFacts.js';

/** Commands of the chart `backend.json`, executed by the backend task. */
export type BackendChartCommand =
  | { readonly type: 'connect'; readonly facts: BackendFacts }
  | { readonly type: 'disconnect' }
  | { readonly type: 'publish'; readonly facts: BackendFacts | undefined };
