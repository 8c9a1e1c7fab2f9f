import type { ChartEvent } from '#chart/ChartEvent.js';
import type { ChartRules } from '#chart/ChartRules.js';
import type { ChartUpdate } from '#chart/ChartUpdate.js';
import type { PresenceCommand } from '#daemon/PresenceCommand.js';

/** Actions of charts/presence.json; the chart has no context. */
export const presenceRules: ChartRules<undefined, ChartEvent, PresenceCommand> = {
  guards: {},
  actions: {
    join: () => command('join'),
    drain: () => command('drain'),
    replaceControl: () => command('replaceControl'),
  },
};

function command(name: PresenceCommand): ChartUpdate<undefined, PresenceCommand> {
  return { context: undefined, commands: [name] };
}
