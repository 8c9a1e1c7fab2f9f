import type { Cell } from '#assignment/Cell.js';
import { listOtherMembers } from '#assignment/ListOtherMembers.js';
import type { RequestMark } from '#proxy/RequestMark.js';
import type { Transport } from '#rpc/Transport.js';

/** A mark takes up to 300 bytes, and a datagram holds 1,400. */
const MARKS_PER_DATAGRAM = 4;

/** Sends the marks of requests that crashed a backend server to the other members of the known cells. */
export function sendMarks(
  transport: Transport,
  serverId: string,
  cells: Iterable<Cell>,
  marks: readonly RequestMark[],
): void {
  const members = [...cells].flatMap((cell) => cell.members);
  const peers = listOtherMembers(members, serverId);
  for (let start = 0; start < marks.length; start += MARKS_PER_DATAGRAM) {
    const batch = marks.slice(start, start + MARKS_PER_DATAGRAM);
    for (const peer of peers) transport.notify(peer, 'marks', batch);
  }
}
