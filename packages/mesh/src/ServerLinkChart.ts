import type { ChartFile } from '#chart/ChartFile.js';
import { compileChart } from '#chart/CompileChart.js';
import type { CompiledChart } from '#chart/CompiledChart.js';
import type { ServerLinkEvent } from '#mesh/ServerLinkEvent.js';
import file from '../charts/serverLink.json' with { type: 'json' };

/** State chart of one connection to the backend server, which carries one request at a time. */
export const serverLinkChart: CompiledChart<undefined, ServerLinkEvent, never> = compileChart(
  'serverLink.json',
  file as ChartFile,
  { guards: {}, actions: {} },
);
