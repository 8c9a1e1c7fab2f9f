import type { ChartFile } from '#chart/ChartFile.js';
import { compileChart } from '#chart/CompileChart.js';
import type { CompiledChart } from '#chart/CompiledChart.js';
import type { LeaseEvent } from '#mesh/LeaseEvent.js';
import file from '../charts/lease.json' with { type: 'json' };

/** State chart of the lease under which a daemon grants keys. */
export const leaseChart: CompiledChart<undefined, LeaseEvent, never> = compileChart(
  'lease.json',
  file as ChartFile,
  { guards: {}, actions: {} },
);
