import type { Decision } from '#core/Decision.js';
import type { WitnessCommand } from '#lease/WitnessCommand.js';
import type { WitnessEvent } from '#lease/WitnessEvent.js';
import type { WitnessState } from '#lease/WitnessState.js';
import type { LeaseConfig } from '#lease/LeaseConfig.js';

/** Applies one event to a witness. */
export function stepWitness(
  state: WitnessState,
  _event: WitnessEvent,
  _config: LeaseConfig,
): Decision<WitnessState, WitnessCommand> {
  return { state, commands: [] };
}
