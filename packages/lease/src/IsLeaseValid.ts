import type { HolderState } from '#lease/HolderState.js';

/** Whether the holder may act; `nowMs` must be read from the monotonic clock at the moment of use. */
export function isLeaseValid(state: HolderState, nowMs: number): boolean {
  return nowMs < state.context.leaseEndMs;
}
