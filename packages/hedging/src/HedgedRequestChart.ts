import type { ChartFile } from '#chart/ChartFile.js';
import { compileChart } from '#chart/CompileChart.js';
import type { CompiledChart } from '#chart/CompiledChart.js';
import type { HedgedRequestEvent } from '#hedging/HedgedRequestEvent.js';
import file from '../charts/hedgedRequest.json' with { type: 'json' };

/** State chart of a request that may be hedged: one copy, two copies, or the last one after the other has failed. */
export const hedgedRequestChart: CompiledChart<undefined, HedgedRequestEvent, never> = compileChart(
  'hedgedRequest.json',
  file as ChartFile,
  { guards: {}, actions: {} },
);
