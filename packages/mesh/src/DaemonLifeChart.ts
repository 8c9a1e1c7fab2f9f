import type { ChartFile } from '#chart/ChartFile.js';
import { compileChart } from '#chart/CompileChart.js';
import type { CompiledChart } from '#chart/CompiledChart.js';
import type { DaemonLifeEvent } from '#mesh/DaemonLifeEvent.js';
import file from '../charts/daemonLife.json' with { type: 'json' };

/** State chart of a daemon process, from its start to its shutdown. */
export const daemonLifeChart: CompiledChart<undefined, DaemonLifeEvent, never> = compileChart(
  'daemonLife.json',
  file as ChartFile,
  { guards: {}, actions: {} },
);
