import type { ChartEvent } from '#chart/ChartEvent.js';
import type { ChartUpdate } from '#chart/ChartUpdate.js';

/** A transition with its names resolved; `actions` include the entry actions of the target state. */
export interface CompiledTransition<C, E extends ChartEvent, K> {
  readonly target: string | undefined;
  readonly guard: ((context: C, event: E) => boolean) | undefined;
  readonly actions: readonly ((context: C, event: E) => ChartUpdate<C, K>)[];
}
