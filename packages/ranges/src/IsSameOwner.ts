import type { RangeOwner } from '#ranges/RangeOwner.js';

/** Whether two owners are the same incarnation of a backend server under the same lease term. */
export function isSameOwner(left: RangeOwner, right: RangeOwner): boolean {
  return (
    left.serverId === right.serverId && left.term === right.term && left.incarnation === right.incarnation
  );
}
