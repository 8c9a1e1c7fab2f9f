import type { FenceState } from '#lease/FenceState.js';
import type { HolderState } from '#lease/HolderState.js';
import { stepFence } from '#lease/StepFence.js';
import type { ModelConfig } from '#model/ModelConfig.js';
import type { ModelParts } from '#model/ModelParts.js';
import type { ModelProcess } from '#model/ModelProcess.js';
import { oldestSend } from '#model/OldestSend.js';

/**
 * Replaces past times by the latest time with the same effect, and sets fields to constants that only control retries
 * and reports.
 */
export function normalizeProcess(
  process: ModelProcess,
  cells: ModelParts['cells'],
  config: ModelConfig,
): ModelProcess {
  const isOwner = process.view.owner === process.server;
  const { view, write } = process;
  return {
    ...process,
    view: cells.intern(view),
    write: write === undefined ? undefined : { ...write, cell: cells.intern(write.cell) },
    holder: process.holder === undefined ? undefined : normalizeHolder(process.holder, config),
    fences: isOwner ? process.fences.map((fence) => normalizeFence(fence, config)) : [],
    releasedToken: isOwner ? process.releasedToken : 0,
    records: isOwner ? process.records : { knownSince: 0, hasRun: false },
  };
}

/** Merges the states `acquiring`, `expired` and `held`, since a holder sends the same renewals in all of them. */
function normalizeHolder(state: HolderState, config: ModelConfig): HolderState {
  const { leaseMs } = config.lease;
  const { context } = state;
  const links = context.links.map((link) => ({
    witness: link.witness,
    nonce: link.nonce,
    grantedSentAtMs:
      link.grantedSentAtMs !== undefined && link.grantedSentAtMs > -leaseMs
        ? link.grantedSentAtMs
        : undefined,
    lastSentAtMs: undefined,
    failures: 0,
    answered: false,
    forgot: false,
  }));
  return {
    value: ['acquiring', 'expired'].includes(state.value) ? 'held' : state.value,
    context: {
      ...context,
      links,
      startedMs: Math.max(-leaseMs, context.startedMs),
      writeStartedMs:
        context.writeStartedMs === undefined ? undefined : Math.max(-leaseMs, context.writeStartedMs),
      leaseEndMs: Math.max(0, context.leaseEndMs),
      roundAtMs: -Infinity,
    },
  };
}

/** Evaluates a fence at the earliest moment, because a satisfied fence stays satisfied. */
function normalizeFence(before: FenceState, config: ModelConfig): FenceState {
  const state = stepFence(before, { type: 'tick', nowMs: 0 }, config.lease).state;
  const { context } = state;
  if (state.value === 'satisfied') return { ...state, context: { ...context, begunAtMs: 0, promises: [] } };
  const promises = context.promises.map((promise) => {
    const sentAtMs = promise.promisedSentAtMs;
    const isOutdated = sentAtMs === undefined || -sentAtMs > config.lease.promiseMaxAgeMs;
    return {
      ...promise,
      askedAtMs: -Infinity,
      promisedSentAtMs: isOutdated ? undefined : Math.max(oldestSend, sentAtMs),
      expiryMs: isOutdated ? Infinity : Math.max(0, promise.expiryMs),
    };
  });
  return { ...state, context: { ...context, begunAtMs: oldestSend, promises } };
}
