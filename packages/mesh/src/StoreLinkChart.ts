import type { ChartFile } from '#chart/ChartFile.js';
import { compileChart } from '#chart/CompileChart.js';
import type { CompiledChart } from '#chart/CompiledChart.js';
import type { StoreLinkEvent } from '#mesh/StoreLinkEvent.js';
import file from '../charts/storeLink.json' with { type: 'json' };

/** State chart of the check whether open connections to the store still carry responses. */
export const storeLinkChart: CompiledChart<undefined, StoreLinkEvent, never> = compileChart(
  'storeLink.json',
  file as ChartFile,
  { guards: {}, actions: {} },
);
