import type { FenceState } from '#lease/FenceState.js';

/** Returns the state of a fence before its `begin` event. */
export function createFenceState(): FenceState {
  const fence = { id: 0, serverId: '', epoch: 0, witnesses: [], graceMs: 0 };
  return { value: 'idle', context: { fence, begunAtMs: -Infinity, promises: [] } };
}
