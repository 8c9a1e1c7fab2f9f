import type { RunningBackendRequest } from '#mesh/RunningBackendRequest.js';

/**
 * Fraction of its expected service time that a running request is assumed to need at least, also when it has
 * overrun it.
 */
const MIN_LEFT_FRACTION = 0.25;

/**
 * Expected time until a slot is free for a request with `workAheadMs` of work queued before it, in
 * milliseconds.
 */
export function estimateWait(
  running: readonly RunningBackendRequest[],
  workAheadMs: number,
  slots: number,
  nowMs: number,
): number {
  if (running.length < slots && workAheadMs === 0) return 0;
  const left = running.map(({ sentMs, expectedMs }) =>
    Math.max(expectedMs * MIN_LEFT_FRACTION, expectedMs - (nowMs - sentMs)),
  );
  const leftMs = left.reduce((sum, each) => sum + each, 0);
  return (leftMs + workAheadMs) / Math.max(1, slots);
}
