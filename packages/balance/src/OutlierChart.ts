import type { ChartFile } from '#chart/ChartFile.js';
import { compileChart } from '#chart/CompileChart.js';
import type { CompiledChart } from '#chart/CompiledChart.js';
import file from '../charts/outlier.json' with { type: 'json' };
import type { OutlierContext } from '#balance/OutlierContext.js';
import type { OutlierEvent } from '#balance/OutlierEvent.js';

/** State chart of one server of the pool: `included`, `ejected`, or `onTrial` while one request decides on its return. */
export const outlierChart: CompiledChart<OutlierContext, OutlierEvent, never> = compileChart(
  'outlier.json',
  file as ChartFile,
  {
    guards: {
      mayEject: (_, event) => event.type === 'judged' && event.isOutlier && event.hasRoom,
      isGood: (_, event) => event.type === 'trialEnded' && event.good,
    },
    actions: {
      countEjection: ({ ejections }) => ({ context: { ejections: ejections + 1 }, commands: [] }),
      forgetEjections: () => ({ context: { ejections: 0 }, commands: [] }),
    },
  },
);
