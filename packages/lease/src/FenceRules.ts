import type { ChartRules } from '#chart/ChartRules.js';
import type { ChartUpdate } from '#chart/ChartUpdate.js';
import type { FenceCommand } from '#lease/FenceCommand.js';
import type { FenceContext } from '#lease/FenceContext.js';
import type { FenceEvent } from '#lease/FenceEvent.js';
import type { FenceTarget } from '#lease/FenceTarget.js';
import type { LeaseConfig } from '#lease/LeaseConfig.js';
import { majorityOf } from '#lease/MajorityOf.js';
import type { WitnessPromise } from '#lease/WitnessPromise.js';

type EventOf<T extends FenceEvent['type']> = Extract<FenceEvent, { readonly type: T }>;
type Update = ChartUpdate<FenceContext, FenceCommand>;

/** Returns the guards and actions of charts/fence.json for one configuration. */
export function fenceRules(config: LeaseConfig): ChartRules<FenceContext, FenceEvent, FenceCommand> {
  return {
    guards: {
      isSatisfied: (context, event) => event.type === 'tick' && isSatisfied(context, event.nowMs, config),
      isSatisfiedByReply: (context, event) =>
        event.type === 'promiseReply' && isSatisfied(countReply(context, event), event.nowMs, config),
    },
    actions: {
      askAll: (context, event) =>
        event.type === 'begin' ? askAll(event.fence, event.nowMs) : update(context),
      askAgain: (context, event) =>
        event.type === 'tick' ? askAgain(context, event.nowMs, config) : update(context),
      countReply: (context, event) =>
        update(event.type === 'promiseReply' ? countReply(context, event) : context),
      noteLost: (context, event) =>
        update(event.type === 'confirmedLost' ? noteLost(context, event) : context),
      announce: (context) => ({ context, commands: [{ type: 'satisfied', fenceId: context.fence.id }] }),
    },
  };
}

function askAll(fence: FenceTarget, nowMs: number): Update {
  const promises = fence.witnesses.map((witness) => ({
    witness,
    promisedSentAtMs: undefined,
    expiryMs: Infinity,
    askedAtMs: nowMs,
    lostSinceMs: undefined,
  }));
  const commands = fence.witnesses.map((witness) => askCommand(fence, witness, nowMs));
  return { context: { fence, begunAtMs: nowMs, promises }, commands };
}

function askAgain(context: FenceContext, nowMs: number, config: LeaseConfig): Update {
  const isDue = (promise: WitnessPromise): boolean =>
    !isFresh(promise, nowMs, config) && nowMs - promise.askedAtMs >= config.renewEveryMs;
  const promises = context.promises.map((promise) =>
    isDue(promise) ? { ...promise, askedAtMs: nowMs } : promise,
  );
  const commands = context.promises
    .filter(isDue)
    .map(({ witness }) => askCommand(context.fence, witness, nowMs));
  return { context: { ...context, promises }, commands };
}

function askCommand({ serverId, epoch }: FenceTarget, witness: string, nowMs: number): FenceCommand {
  return { type: 'sendPromise', witness, request: { serverId, epoch, sentAtMs: nowMs } };
}

/** Keeps only the newest promise of each witness, because the witness may have restarted after an older one. */
function countReply(context: FenceContext, event: EventOf<'promiseReply'>): FenceContext {
  if (!event.promised || event.epoch !== context.fence.epoch) return context;
  const promises = context.promises.map((promise) => {
    const isNewer = event.sentAtMs >= (promise.promisedSentAtMs ?? context.begunAtMs);
    if (promise.witness !== event.witness || !isNewer) return promise;
    return { ...promise, promisedSentAtMs: event.sentAtMs, expiryMs: event.nowMs + event.remainingMs };
  });
  return { ...context, promises };
}

function noteLost(context: FenceContext, event: EventOf<'confirmedLost'>): FenceContext {
  const promises = context.promises.map((promise) =>
    promise.witness === event.serverId && promise.lostSinceMs === undefined
      ? { ...promise, lostSinceMs: event.nowMs }
      : promise,
  );
  return { ...context, promises };
}

function isSatisfied(context: FenceContext, nowMs: number, config: LeaseConfig): boolean {
  const { fence, promises, begunAtMs } = context;
  const graceMs = Math.ceil(fence.graceMs * (1 + config.clockDrift));
  if (promises.length === 0) return nowMs >= begunAtMs + config.witnessExpiryMs + graceMs;
  const counted = promises.filter((promise) => isCounted(promise, nowMs, graceMs, config));
  return counted.length >= majorityOf(promises.length);
}

function isCounted(promise: WitnessPromise, nowMs: number, graceMs: number, config: LeaseConfig): boolean {
  if (isLost(promise, nowMs, graceMs, config)) return true;
  return isFresh(promise, nowMs, config) && nowMs >= promise.expiryMs + graceMs;
}

/** Whether a promise is recent enough to count. Its age is that of the request, which was sent before the promise. */
function isFresh(promise: WitnessPromise, nowMs: number, config: LeaseConfig): boolean {
  return promise.promisedSentAtMs !== undefined && nowMs - promise.promisedSentAtMs <= config.promiseMaxAgeMs;
}

/** Whether a lost witness counts as promised: it grants nothing any more, so `silentMs` covers its last grant. */
function isLost(promise: WitnessPromise, nowMs: number, graceMs: number, config: LeaseConfig): boolean {
  const waitMs = Math.max(config.silentMs, config.witnessExpiryMs + graceMs);
  return promise.lostSinceMs !== undefined && nowMs >= promise.lostSinceMs + waitMs;
}

function update(context: FenceContext): Update {
  return { context, commands: [] };
}
