import type { FenceState } from '#lease/FenceState.js';
import type { HolderState } from '#lease/HolderState.js';
import type { ModelProcess } from '#model/ModelProcess.js';

/** Moves the times of a process one step into the past. */
export function shiftProcess(process: ModelProcess): ModelProcess {
  return {
    ...process,
    holder: process.holder === undefined ? undefined : shiftHolder(process.holder),
    fences: process.fences.map(shiftFence),
  };
}

function shiftBack(time: number | undefined): number | undefined {
  return time === undefined ? undefined : time - 1;
}

function shiftHolder({ value, context }: HolderState): HolderState {
  return {
    value,
    context: {
      ...context,
      startedMs: context.startedMs - 1,
      writeStartedMs: shiftBack(context.writeStartedMs),
      leaseEndMs: context.leaseEndMs - 1,
      links: context.links.map((link) => ({ ...link, grantedSentAtMs: shiftBack(link.grantedSentAtMs) })),
    },
  };
}

function shiftFence({ value, context }: FenceState): FenceState {
  const promises = context.promises.map((promise) => ({
    ...promise,
    promisedSentAtMs: shiftBack(promise.promisedSentAtMs),
    expiryMs: promise.expiryMs - 1,
  }));
  return { value, context: { ...context, begunAtMs: context.begunAtMs - 1, promises } };
}
