import type { ChartFile } from '#chart/ChartFile.js';
import { compileChart } from '#chart/CompileChart.js';
import type { CompiledChart } from '#chart/CompiledChart.js';
import type { FollowEvent } from '#mesh/FollowEvent.js';
import file from '../charts/follow.json' with { type: 'json' };

/** State chart of a daemon that gets changes of the store from other daemons. */
export const followChart: CompiledChart<undefined, FollowEvent, never> = compileChart(
  'follow.json',
  file as ChartFile,
  { guards: {}, actions: {} },
);
