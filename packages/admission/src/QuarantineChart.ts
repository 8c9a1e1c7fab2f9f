import type { ChartFile } from '#chart/ChartFile.js';
import { compileChart } from '#chart/CompileChart.js';
import type { CompiledChart } from '#chart/CompiledChart.js';
import file from '../charts/quarantine.json' with { type: 'json' };
import type { QuarantineEvent } from '#admission/QuarantineEvent.js';

/** Number of uncleared marks at which a request is held. */
const MARKS_TO_HOLD = 2;

/** Chart of one request with crash marks: `clear`, `marked` (runs only alone) and `held` (does not run). */
export const quarantineChart: CompiledChart<undefined, QuarantineEvent, never> = compileChart(
  'quarantine.json',
  file as ChartFile,
  {
    guards: {
      holds: (_, { marks }) => marks >= MARKS_TO_HOLD,
      isMarked: (_, { marks }) => marks > 0,
    },
    actions: {},
  },
);
