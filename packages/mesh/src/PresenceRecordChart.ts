import type { ChartFile } from '#chart/ChartFile.js';
import { compileChart } from '#chart/CompileChart.js';
import type { CompiledChart } from '#chart/CompiledChart.js';
import type { PresenceRecordEvent } from '#mesh/PresenceRecordEvent.js';
import file from '../charts/presenceRecord.json' with { type: 'json' };

/** State chart of what a new process knows of the entry that the former process of its daemon left in the store. */
export const presenceRecordChart: CompiledChart<undefined, PresenceRecordEvent, never> = compileChart(
  'presenceRecord.json',
  file as ChartFile,
  { guards: {}, actions: {} },
);
