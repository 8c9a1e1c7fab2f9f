import type { ChartFile } from '#chart/ChartFile.js';
import { compileChart } from '#chart/CompileChart.js';
import type { CompiledChart } from '#chart/CompiledChart.js';
import file from '../charts/drain.json' with { type: 'json' };
import type { DrainEvent } from '#admission/DrainEvent.js';

/** Chart of the drain of one backend server: `serving`, `draining` while requests still run, and `drained`. */
export const drainChart: CompiledChart<undefined, DrainEvent, never> = compileChart(
  'drain.json',
  file as ChartFile,
  { guards: {}, actions: {} },
);
