import type { WitnessState } from '#lease/WitnessState.js';

/** Returns the state of a witness before its `started` event. */
export function createWitnessState(): WitnessState {
  return { value: 'stopped', context: { silentUntilMs: Infinity, nonce: '', records: new Map() } };
}
