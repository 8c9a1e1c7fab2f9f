import type { ChartFile } from '#chart/ChartFile.js';
import { compileChart } from '#chart/CompileChart.js';
import type { CompiledChart } from '#chart/CompiledChart.js';
import type { WatchEvent } from '#mesh/WatchEvent.js';
import file from '../charts/watch.json' with { type: 'json' };

/** Chart of one watched collection: listed once, then watched from the revision last seen. */
export const watchChart: CompiledChart<undefined, WatchEvent, never> = compileChart(
  'watch.json',
  file as ChartFile,
  { guards: {}, actions: {} },
);
