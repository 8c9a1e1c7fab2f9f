import type { ChartFile } from '#chart/ChartFile.js';
import { compileChart } from '#chart/CompileChart.js';
import type { CompiledChart } from '#chart/CompiledChart.js';
import type { CallerExchangeEvent } from '#mesh/CallerExchangeEvent.js';
import file from '../charts/callerExchange.json' with { type: 'json' };

/**
 * State chart of a request on a caller's connection. A request that is refused before its body has arrived gets its
 * response at once, and the rest of the body is discarded.
 */
export const callerExchangeChart: CompiledChart<undefined, CallerExchangeEvent, never> = compileChart(
  'callerExchange.json',
  file as ChartFile,
  { guards: {}, actions: {} },
);
