import { ChartCursor } from '#chart/ChartCursor.js';
import type { MeshExchange } from '#mesh/MeshExchange.js';
import { meshExchangeChart } from '#mesh/MeshExchangeChart.js';

type NewExchange = Pick<
  MeshExchange,
  | 'number'
  | 'request'
  | 'route'
  | 'tenant'
  | 'service'
  | 'isCall'
  | 'isShort'
  | 'dueMs'
  | 'reply'
  | 'cancelDue'
>;

/** Creates the state of a request for which no server was chosen yet. */
export function createExchange(given: NewExchange): MeshExchange {
  return {
    ...given,
    cursor: new ChartCursor(meshExchangeChart),
    cancelWait: () => undefined,
    attempt: undefined,
    offers: 0,
    copies: 0,
    arrivals: 0,
    tried: new Set(),
    mayHaveRun: false,
    failure: undefined,
    lastRefusal: undefined,
    retryAfterMs: 0,
    waitingMs: undefined,
    tableRevision: 0,
  };
}
