import type { BackendFacts } from '#proxy/BackendFacts.js';

/** Events of the chart `backend.json`: announcements of the backend server, and signs of its loss. */
export type BackendChartEvent =
  | { readonly type: 'announced'; readonly facts: BackendFacts; readonly nowMs: number }
  | { readonly type: 'silent' }
  | { readonly type: 'unreachable' };
