import type { ChartFile } from '#chart/ChartFile.js';
import { compileChart } from '#chart/CompileChart.js';
import type { CompiledChart } from '#chart/CompiledChart.js';
import type { WatchEvent } from '#mesh/WatchEvent.js';
import file from '../charts/watch.json' with { type: 'json' };

/** State chart of one watched collection: it is listed once, then watched from the last seen revision on. */
export const watchChart: CompiledChart<undefined, WatchEvent, never> = compileChart(
  'watch.json',
  file as ChartFile,
  { guards: {}, actions: {} },
);
