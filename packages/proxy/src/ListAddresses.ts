import type { RoutingView } from '#proxy/RoutingView.js';

const MAX_ADDRESSES = 8;

/** Lists the caller addresses (`host:port`) of active members of a service in the given regions, at most 8. */
export function listAddresses(
  view: RoutingView,
  service: string,
  regions: readonly string[],
): readonly string[] {
  return [...view.cells.values()]
    .filter((cell) => cell.service === service)
    .flatMap((cell) => cell.members)
    .filter((member) => member.state === 'active' && regions.includes(member.region))
    .slice(0, MAX_ADDRESSES)
    .map((member) => `${member.host}:${member.callerPort}`);
}
