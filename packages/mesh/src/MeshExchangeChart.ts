import type { ChartFile } from '#chart/ChartFile.js';
import { compileChart } from '#chart/CompileChart.js';
import type { CompiledChart } from '#chart/CompiledChart.js';
import type { MeshExchangeEvent } from '#mesh/MeshExchangeEvent.js';
import file from '../charts/exchange.json' with { type: 'json' };

/** State chart of a caller's request at the daemon that received it. */
export const meshExchangeChart: CompiledChart<undefined, MeshExchangeEvent, never> = compileChart(
  'exchange.json',
  file as ChartFile,
  { guards: {}, actions: {} },
);
