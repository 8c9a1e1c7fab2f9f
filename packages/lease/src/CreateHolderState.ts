import type { HolderState } from '#lease/HolderState.js';

/** Returns the state of a daemon that has no epoch yet. */
export function createHolderState(serverId: string): HolderState {
  return {
    value: 'idle',
    context: {
      serverId,
      epoch: 0,
      startedMs: -Infinity,
      writeStartedMs: undefined,
      leaseEndMs: -Infinity,
      promisedEpoch: 0,
      roundAtMs: -Infinity,
      links: [],
    },
  };
}
