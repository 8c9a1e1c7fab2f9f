import type { ChartEvent } from '#chart/ChartEvent.js';
import type { ChartRules } from '#chart/ChartRules.js';
import type { ChartUpdate } from '#chart/ChartUpdate.js';
import type { MembershipCommand } from '#control/MembershipCommand.js';

/** Guards and actions of charts/membership.json; the chart has no context. */
export const membershipRules: ChartRules<undefined, ChartEvent, MembershipCommand> = {
  guards: {},
  actions: {
    write: () => command('write'),
    startEpoch: () => command('startEpoch'),
    refuseEpoch: () => command('refuseEpoch'),
    retryLater: () => command('retryLater'),
    giveUp: () => command('giveUp'),
  },
};

function command(name: MembershipCommand): ChartUpdate<undefined, MembershipCommand> {
  return { context: undefined, commands: [name] };
}
