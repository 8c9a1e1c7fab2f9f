import type { ChartFile } from '#chart/ChartFile.js';
import { compileChart } from '#chart/CompileChart.js';
import type { CompiledChart } from '#chart/CompiledChart.js';
import type { CallerConnectionEvent } from '#connection/CallerConnectionEvent.js';
import file from '../charts/callerConnection.json' with { type: 'json' };

/** State chart of the end of a caller's connection. */
export const callerConnectionChart: CompiledChart<undefined, CallerConnectionEvent, never> = compileChart(
  'callerConnection.json',
  file as ChartFile,
  { guards: {}, actions: {} },
);
