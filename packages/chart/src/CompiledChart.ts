import type { ChartEvent } from '#chart/ChartEvent.js';
import type { CompiledTransition } from '#chart/CompiledTransition.js';

/** A chart compiled to frozen tables: state name, then event type, then the transitions in order. */
export interface CompiledChart<C, E extends ChartEvent, K> {
  readonly id: string;
  readonly initial: string;
  readonly finalStates: ReadonlySet<string>;
  readonly transitions: ReadonlyMap<string, ReadonlyMap<string, readonly CompiledTransition<C, E, K>[]>>;
}
