import type { BackendRequest } from '#mesh/BackendRequest.js';

/** Kind of a request at its server, by which service times and shares are counted: its priority and target latency. */
export function formatKind({
  priority,
  targetLatencyMs,
}: Pick<BackendRequest, 'priority' | 'targetLatencyMs'>): string {
  return `${priority} ${targetLatencyMs}`;
}
