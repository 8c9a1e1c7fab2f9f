import type { BackendFacts } from '#proxy/BackendFacts.js';

/** Events of the chart `backend.json`. */
export type BackendChartEvent =
  | { readonly type: 'announced'; readonly facts: BackendFacts; readonly nowMs: number }
  | { readonly type: 'silent' }
  | { readonly type: 'unreachable' };
