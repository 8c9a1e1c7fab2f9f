import type { ChartEvent } from '#chart/ChartEvent.js';
import type { ChartRules } from '#chart/ChartRules.js';
import type { ChartUpdate } from '#chart/ChartUpdate.js';
import type { SuspicionCommand } from '#control/SuspicionCommand.js';
import type { SuspicionContext } from '#control/SuspicionContext.js';

type Update = ChartUpdate<SuspicionContext, SuspicionCommand>;

/** Guards and actions of charts/suspicion.json. */
export const suspicionRules: ChartRules<SuspicionContext, ChartEvent, SuspicionCommand> = {
  guards: {
    isConfirmed: (context, event) => context.needed <= (event.type === 'agreed' ? 1 : 0),
    isMajorityUnreachable: (context) => context.open - 1 < context.needed,
  },
  actions: {
    askWitnesses: (context) => command(context, 'askWitnesses'),
    probe: (context) => command(context, 'probe'),
    report: (context) => command(context, 'report'),
    count: (context) => update({ needed: context.needed - 1, open: context.open - 1 }),
    countDenial: (context) => update({ ...context, open: context.open - 1 }),
  },
};

function command(context: SuspicionContext, name: SuspicionCommand): Update {
  return { context, commands: [name] };
}

function update(context: SuspicionContext): Update {
  return { context, commands: [] };
}
