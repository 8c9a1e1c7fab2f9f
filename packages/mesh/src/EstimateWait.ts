import type { RunningBackendRequest } from '#mesh/RunningBackendRequest.js';

/** Part of an order's expected time that is assumed to be left if it runs longer than expected. */
const LEAST_LEFT = 0.25;

/** Expected time until a slot is free for an order that has `workAheadMs` of waiting work before it, in milliseconds. */
export function estimateWait(
  running: readonly RunningBackendRequest[],
  workAheadMs: number,
  slots: number,
  nowMs: number,
): number {
  if (running.length < slots && workAheadMs === 0) return 0;
  const left = running.map(({ sentMs, expectedMs }) =>
    Math.max(expectedMs * LEAST_LEFT, expectedMs - (nowMs - sentMs)),
  );
  const leftMs = left.reduce((sum, each) => sum + each, 0);
  return (leftMs + workAheadMs) / Math.max(1, slots);
}
