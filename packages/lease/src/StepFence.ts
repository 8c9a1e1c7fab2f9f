import { advanceChart } from '#chart/AdvanceChart.js';
import type { CompiledChart } from '#chart/CompiledChart.js';
import { compileChart } from '#chart/CompileChart.js';
import type { Decision } from '#core/Decision.js';
import type { FenceCommand } from '#lease/FenceCommand.js';
import type { FenceContext } from '#lease/FenceContext.js';
import type { FenceEvent } from '#lease/FenceEvent.js';
import { fenceRules } from '#lease/FenceRules.js';
import type { FenceState } from '#lease/FenceState.js';
import type { LeaseConfig } from '#lease/LeaseConfig.js';
import file from '../charts/fence.json' with { type: 'json' };

type Chart = CompiledChart<FenceContext, FenceEvent, FenceCommand>;

const charts = new WeakMap<LeaseConfig, Chart>();

/** Applies one event to a fence. */
export function stepFence(
  state: FenceState,
  event: FenceEvent,
  config: LeaseConfig,
): Decision<FenceState, FenceCommand> {
  const { snapshot, commands } = advanceChart(chartOf(config), state, event);
  return { state: snapshot, commands };
}

/** Returns the compiled chart of a configuration; the rules depend on its durations. */
function chartOf(config: LeaseConfig): Chart {
  const known = charts.get(config);
  if (known !== undefined) return known;
  const chart = compileChart('fence.json', file, fenceRules(config));
  charts.set(config, chart);
  return chart;
}
