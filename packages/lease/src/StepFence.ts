import type { Decision } from '#core/Decision.js';
import type { FenceCommand } from '#lease/FenceCommand.js';
import type { FenceEvent } from '#lease/FenceEvent.js';
import type { FenceState } from '#lease/FenceState.js';
import type { LeaseConfig } from '#lease/LeaseConfig.js';

/** Applies one event to a fence. */
export function stepFence(
  state: FenceState,
  _event: FenceEvent,
  _config: LeaseConfig,
): Decision<FenceState, FenceCommand> {
  return { state, commands: [] };
}
