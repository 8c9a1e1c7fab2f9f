import type { Owner } from '#ranges/Owner.js';

/** Whether two owners are the same run of a backend server under the same term. */
export function isSameOwner(left: Owner, right: Owner): boolean {
  return (
    left.serverId === right.serverId && left.term === right.term && left.incarnation === right.incarnation
  );
}
