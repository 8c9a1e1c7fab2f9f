import type { ChartFile } from '#chart/ChartFile.js';
import { compileChart } from '#chart/CompileChart.js';
import type { CompiledChart } from '#chart/CompiledChart.js';
import type { ChartUpdate } from '#chart/ChartUpdate.js';
import file from '../charts/slowStart.json' with { type: 'json' };
import type { SlowStartContext } from '#admission/SlowStartContext.js';
import type { SlowStartEvent } from '#admission/SlowStartEvent.js';

/** Chart of a slow start: `cold` at one slot, `ramping` up, and `steady` at all slots. */
export const slowStartChart: CompiledChart<SlowStartContext, SlowStartEvent, never> = compileChart(
  'slowStart.json',
  file as ChartFile,
  {
    guards: { reachesFullShare: ({ share }) => share * 2 >= 1 },
    actions: {
      useOneSlot: (context) => setShare(context, 0),
      doubleShare: (context) => setShare(context, context.share * 2),
      halveShare: (context) => setShare(context, context.share / 2),
    },
  },
);

function setShare(context: SlowStartContext, share: number): ChartUpdate<SlowStartContext, never> {
  const bounded = Math.min(1, Math.max(1 / context.slots, share));
  return { context: { ...context, share: bounded }, commands: [] };
}
