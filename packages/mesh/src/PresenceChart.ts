import type { ChartFile } from '#chart/ChartFile.js';
import { compileChart } from '#chart/CompileChart.js';
import type { CompiledChart } from '#chart/CompiledChart.js';
import type { PresenceEvent } from '#mesh/PresenceEvent.js';
import file from '../charts/presence.json' with { type: 'json' };

/** State chart of the backend server beside a daemon, driven by its announcements and by evidence of its end. */
export const presenceChart: CompiledChart<undefined, PresenceEvent, never> = compileChart(
  'presence.json',
  file as ChartFile,
  { guards: {}, actions: {} },
);
