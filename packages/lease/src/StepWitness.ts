import { advanceChart } from '#chart/AdvanceChart.js';
import type { CompiledChart } from '#chart/CompiledChart.js';
import { compileChart } from '#chart/CompileChart.js';
import type { Decision } from '#core/Decision.js';
import type { WitnessCommand } from '#lease/WitnessCommand.js';
import type { WitnessContext } from '#lease/WitnessContext.js';
import type { WitnessEvent } from '#lease/WitnessEvent.js';
import { witnessRules } from '#lease/WitnessRules.js';
import type { WitnessState } from '#lease/WitnessState.js';
import type { LeaseConfig } from '#lease/LeaseConfig.js';
import file from '../charts/witness.json' with { type: 'json' };

type Chart = CompiledChart<WitnessContext, WitnessEvent, WitnessCommand>;

const charts = new WeakMap<LeaseConfig, Chart>();

/** Applies one event to a witness. */
export function stepWitness(
  state: WitnessState,
  event: WitnessEvent,
  config: LeaseConfig,
): Decision<WitnessState, WitnessCommand> {
  const { snapshot, commands } = advanceChart(chartOf(config), state, event);
  return { state: snapshot, commands };
}

/** Returns the compiled chart of a configuration; the rules depend on its durations. */
function chartOf(config: LeaseConfig): Chart {
  const known = charts.get(config);
  if (known !== undefined) return known;
  const chart = compileChart('witness.json', file, witnessRules(config));
  charts.set(config, chart);
  return chart;
}
