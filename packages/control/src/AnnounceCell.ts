import type { Cell } from '#assignment/Cell.js';
import type { Directory } from '#control/Directory.js';
import type { TaskLinks } from '#control/TaskLinks.js';

/** Sends a newer cell and the updated directory to the tasks of this daemon. */
export function announceCell(links: TaskLinks, name: string, cell: Cell, directory: Directory): void {
  const update = { type: 'directory', directory } as const;
  links.lease(update);
  links.fence(update);
  links.membership(update);
  links.spread(update);
  links.witness({ type: 'cell', name, cell });
  links.emit({ type: 'cell', cell });
}
