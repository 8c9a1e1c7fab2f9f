import type { ChartEvent } from '#chart/ChartEvent.js';
import type { ChartUpdate } from '#chart/ChartUpdate.js';

/**
 * The guards and actions that a chart refers to by name. All are pure functions of context and event. `C` is the type
 * of the context, `E` that of the events and `K` that of the commands.
 */
export interface ChartRules<C, E extends ChartEvent, K> {
  readonly guards: Readonly<Record<string, (context: C, event: E) => boolean>>;
  readonly actions: Readonly<Record<string, (context: C, event: E) => ChartUpdate<C, K>>>;
}
