import type { ChartRules } from '#chart/ChartRules.js';
import type { ChartUpdate } from '#chart/ChartUpdate.js';
import type { MoveCommand } from '#control/MoveCommand.js';
import type { MoveContext } from '#control/MoveContext.js';
import type { MoveEvent } from '#control/MoveEvent.js';

type Update = ChartUpdate<MoveContext, MoveCommand>;

/** Guards and actions of charts/move.json. */
export const moveRules: ChartRules<MoveContext, MoveEvent, MoveCommand> = {
  guards: {
    isLastRelease: (context, event) => collect(context, event).records.length === context.moves.length,
    isAccepted: (_, event) => event.type === 'written' && event.accepted,
    isConfirmed: (_, event) => event.type === 'sent' && event.incarnation !== undefined,
  },
  actions: {
    collect: (context, event) => ({ context: collect(context, event), commands: [] }),
    send: (context) => ({ context, commands: [{ type: 'send' }] }),
    write: (context, event): Update => {
      const incarnation = event.type === 'sent' ? event.incarnation : undefined;
      return { context, commands: incarnation === undefined ? [] : [{ type: 'write', incarnation }] };
    },
    restore: (context) => ({ context, commands: [{ type: 'restore' }] }),
  },
};

/** Adds the records of a released shard; a repeated release replaces the earlier one. */
function collect(context: MoveContext, event: MoveEvent): MoveContext {
  if (event.type !== 'released') return context;
  const others = context.records.filter(({ shardId }) => shardId !== event.records.shardId);
  return { ...context, records: [...others, event.records] };
}
