import type { ChartEvent } from '#chart/ChartEvent.js';
import type { ChartSnapshot } from '#chart/ChartSnapshot.js';
import type { ChartStep } from '#chart/ChartStep.js';
import type { CompiledChart } from '#chart/CompiledChart.js';
import type { CompiledTransition } from '#chart/CompiledTransition.js';

/** Applies one event to a snapshot. An event without a matching transition leaves the snapshot unchanged. */
export function advanceChart<C, E extends ChartEvent, K>(
  chart: CompiledChart<C, E, K>,
  snapshot: ChartSnapshot<C>,
  event: E,
): ChartStep<C, K> {
  const candidates = chart.transitions.get(snapshot.value)?.get(event.type) ?? [];
  const transition = candidates.find(({ guard }) => guard === undefined || guard(snapshot.context, event));
  if (transition === undefined) return { snapshot, commands: [], taken: false };
  return applyTransition(transition, snapshot, event);
}

function applyTransition<C, E extends ChartEvent, K>(
  transition: CompiledTransition<C, E, K>,
  snapshot: ChartSnapshot<C>,
  event: E,
): ChartStep<C, K> {
  let context = snapshot.context;
  const commands: K[] = []; // eslint-disable-line no-restricted-syntax -- local accumulator
  for (const action of transition.actions) {
    const update = action(context, event);
    context = update.context;
    commands.push(...update.commands);
  }
  return { snapshot: { value: transition.target ?? snapshot.value, context }, commands, taken: true };
}
