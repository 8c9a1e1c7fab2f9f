import { advanceChart } from '#chart/AdvanceChart.js';
import type { CompiledChart } from '#chart/CompiledChart.js';
import { compileChart } from '#chart/CompileChart.js';
import type { Decision } from '#core/Decision.js';
import type { HolderCommand } from '#lease/HolderCommand.js';
import type { HolderContext } from '#lease/HolderContext.js';
import type { HolderEvent } from '#lease/HolderEvent.js';
import { holderRules } from '#lease/HolderRules.js';
import type { HolderState } from '#lease/HolderState.js';
import type { LeaseConfig } from '#lease/LeaseConfig.js';
import file from '../charts/holder.json' with { type: 'json' };

type Chart = CompiledChart<HolderContext, HolderEvent, HolderCommand>;

const charts = new WeakMap<LeaseConfig, Chart>();

/** Applies one event to the holder of a lease. */
export function stepHolder(
  state: HolderState,
  event: HolderEvent,
  config: LeaseConfig,
): Decision<HolderState, HolderCommand> {
  const { snapshot, commands } = advanceChart(chartOf(config), state, event);
  return { state: snapshot, commands };
}

/** Returns the compiled chart of a configuration; the rules depend on its durations. */
function chartOf(config: LeaseConfig): Chart {
  const known = charts.get(config);
  if (known !== undefined) return known;
  const chart = compileChart('holder.json', file, holderRules(config));
  charts.set(config, chart);
  return chart;
}
