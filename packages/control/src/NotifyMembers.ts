import type { Cell } from '#assignment/Cell.js';
import type { ControlContext } from '#control/ControlContext.js';
import { formatCellName } from '#control/FormatCellName.js';

/** Tells the other members of a cell that the store accepted a new version of it. */
export function notifyMembers({ settings, transport }: ControlContext, cell: Cell): void {
  const name = formatCellName(cell.service, cell.index);
  for (const member of cell.members) {
    if (member.serverId === settings.serverId) continue;
    transport.notify(member, 'assigned', { n: name, v: cell.version });
  }
}
