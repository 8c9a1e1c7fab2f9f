import type { Decision } from '#core/Decision.js';
import type { HolderCommand } from '#lease/HolderCommand.js';
import type { HolderEvent } from '#lease/HolderEvent.js';
import type { HolderState } from '#lease/HolderState.js';
import type { LeaseConfig } from '#lease/LeaseConfig.js';

/** Applies one event to the holder of a lease. */
export function stepHolder(
  state: HolderState,
  _event: HolderEvent,
  _config: LeaseConfig,
): Decision<HolderState, HolderCommand> {
  return { state, commands: [] };
}
