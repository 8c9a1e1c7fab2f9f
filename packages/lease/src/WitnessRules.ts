import type { ChartRules } from '#chart/ChartRules.js';
import type { ChartUpdate } from '#chart/ChartUpdate.js';
import type { LeaseConfig } from '#lease/LeaseConfig.js';
import type { PromiseRequest } from '#lease/PromiseRequest.js';
import type { RenewRequest } from '#lease/RenewRequest.js';
import type { WitnessCommand } from '#lease/WitnessCommand.js';
import type { WitnessContext } from '#lease/WitnessContext.js';
import type { WitnessEvent } from '#lease/WitnessEvent.js';
import type { WitnessRecord } from '#lease/WitnessRecord.js';

const EMPTY_RECORD: WitnessRecord = {
  epoch: 0,
  grantedAtMs: -Infinity,
  previousEpoch: 0,
  previousGrantedAtMs: -Infinity,
  promisedEpoch: 0,
  promiseExpiryMs: -Infinity,
  watchedEpoch: 0,
  watchedSinceMs: -Infinity,
  suspectedAtMs: -Infinity,
};

type EventOf<T extends WitnessEvent['type']> = Extract<WitnessEvent, { readonly type: T }>;
type Update = ChartUpdate<WitnessContext, WitnessCommand>;

/** Returns the guards and actions of charts/witness.json for one configuration. */
export function witnessRules(config: LeaseConfig): ChartRules<WitnessContext, WitnessEvent, WitnessCommand> {
  return {
    guards: {
      isSilenceOver: (context, event) => event.type === 'tick' && event.nowMs >= context.silentUntilMs,
      isGrantable: (context, event) => event.type === 'renew' && isGrantable(context, event.request),
    },
    actions: {
      start: (context, event) => update(event.type === 'started' ? start(event, config) : context),
      grant: (context, event) => (event.type === 'renew' ? grant(context, event) : update(context)),
      refuse: (context, event) => (event.type === 'renew' ? refuse(context, event) : update(context)),
      promise: (context, event) =>
        event.type === 'promise' ? givePromise(context, event, config) : update(context),
      answerCheck: (context, event) =>
        event.type === 'check' ? answerCheck(context, event, config) : update(context),
      watch: (context, event) => update(event.type === 'watch' ? watch(context, event) : context),
      forget: (context, event) => update(event.type === 'forget' ? forget(context, event, config) : context),
      reportSuspects: (context, event) =>
        event.type === 'tick' ? reportSuspects(context, event.nowMs, config) : update(context),
    },
  };
}

/** The nonce may be drawn at the start, because nobody learns it before the silent period ends. */
function start(event: EventOf<'started'>, config: LeaseConfig): WitnessContext {
  return { silentUntilMs: event.nowMs + config.silentMs, nonce: event.nonce, records: new Map() };
}

/** Whether a renewal may be granted. An epoch below the remembered one is refused: the store accepted a higher one. */
function isGrantable(context: WitnessContext, request: RenewRequest): boolean {
  const record = recordOf(context, request.serverId);
  if (request.nonce !== context.nonce) return false;
  if (request.epoch <= highestRefusedEpoch(record)) return false;
  return record.epoch === request.epoch || request.continuous;
}

function highestRefusedEpoch(record: WitnessRecord): number {
  return Math.max(record.promisedEpoch, record.epoch - 1);
}

function grant(context: WitnessContext, event: EventOf<'renew'>): Update {
  const { serverId, epoch } = event.request;
  const record = recordOf(context, serverId);
  const isSame = record.epoch === epoch;
  const next: WitnessRecord = {
    ...record,
    epoch,
    grantedAtMs: event.nowMs,
    previousEpoch: isSame ? record.previousEpoch : record.epoch,
    previousGrantedAtMs: isSame ? record.previousGrantedAtMs : record.grantedAtMs,
  };
  return {
    context: withRecord(context, serverId, next),
    commands: [renewReply(context, event.request, true)],
  };
}

function refuse(context: WitnessContext, event: EventOf<'renew'>): Update {
  return { context, commands: [renewReply(context, event.request, false)] };
}

function renewReply(context: WitnessContext, request: RenewRequest, granted: boolean): WitnessCommand {
  const { serverId, epoch, sentAtMs } = request;
  const promisedEpoch = highestRefusedEpoch(recordOf(context, serverId));
  return {
    type: 'replyRenew',
    serverId,
    reply: { epoch, sentAtMs, granted, nonce: context.nonce, promisedEpoch },
  };
}

function givePromise(context: WitnessContext, event: EventOf<'promise'>, config: LeaseConfig): Update {
  const { serverId, epoch, sentAtMs } = event.request;
  const record = withPromise(recordOf(context, serverId), event.request, event.nowMs, config);
  const remainingMs = Math.max(0, record.promiseExpiryMs - event.nowMs);
  return {
    context: withRecord(context, serverId, record),
    commands: [{ type: 'replyPromise', serverId, reply: { epoch, sentAtMs, promised: true, remainingMs } }],
  };
}

function withPromise(
  record: WitnessRecord,
  { epoch }: Pick<PromiseRequest, 'epoch'>,
  nowMs: number,
  config: LeaseConfig,
): WitnessRecord {
  if (epoch <= record.promisedEpoch) return record;
  return { ...record, promisedEpoch: epoch, promiseExpiryMs: computeExpiry(record, epoch, nowMs, config) };
}

/**
 * Returns the time from which the server can no longer use `epoch` or an earlier one. A record of a lower epoch
 * doesn't tell it: other witnesses may have granted an epoch between them, which the holder may use until `leaseMs`
 * after it began to write `epoch`. Without a record of `epoch`, `witnessExpiryMs` must pass from the request on.
 */
function computeExpiry(record: WitnessRecord, epoch: number, nowMs: number, config: LeaseConfig): number {
  if (record.epoch === epoch) return record.grantedAtMs + config.witnessExpiryMs;
  if (record.previousEpoch === epoch) return record.previousGrantedAtMs + config.witnessExpiryMs;
  return nowMs + config.witnessExpiryMs;
}

function answerCheck(context: WitnessContext, event: EventOf<'check'>, config: LeaseConfig): Update {
  const { serverId, epoch, nowMs } = event;
  const record = context.records.get(serverId);
  const isSilent =
    record !== undefined && watchedEpoch(record) === epoch && isSilentServer(context, record, nowMs, config);
  return { context, commands: [{ type: 'replyCheck', serverId, silent: isSilent }] };
}

function watch(context: WitnessContext, event: EventOf<'watch'>): WitnessContext {
  const record = recordOf(context, event.serverId);
  if (event.epoch <= record.watchedEpoch) return context;
  const next = { ...record, watchedEpoch: event.epoch, watchedSinceMs: event.nowMs };
  return withRecord(context, event.serverId, next);
}

/**
 * Stops monitoring an epoch, but promises never to renew it: a delayed renewal could otherwise be granted, and the
 * expired holder could regain its lease from it. One small record remains for each server until the witness restarts.
 */
function forget(context: WitnessContext, event: EventOf<'forget'>, config: LeaseConfig): WitnessContext {
  const record = withPromise(recordOf(context, event.serverId), event, event.nowMs, config);
  const isOver = record.watchedEpoch <= event.epoch;
  return withRecord(context, event.serverId, { ...record, watchedEpoch: isOver ? 0 : record.watchedEpoch });
}

function reportSuspects(context: WitnessContext, nowMs: number, config: LeaseConfig): Update {
  const suspects = [...context.records].filter(
    ([, record]) =>
      isSilentServer(context, record, nowMs, config) && nowMs - record.suspectedAtMs >= config.renewEveryMs,
  );
  if (suspects.length === 0) return update(context);
  const marked = suspects.map(
    ([serverId, record]) => [serverId, { ...record, suspectedAtMs: nowMs }] as const,
  );
  return {
    context: { ...context, records: new Map([...context.records, ...marked]) },
    commands: suspects.map(([serverId, record]) => ({
      type: 'suspect',
      serverId,
      epoch: watchedEpoch(record),
    })),
  };
}

/** Whether a server is silent. A restarted witness grants nothing in its silent period, so it counts from its end. */
function isSilentServer(
  context: WitnessContext,
  record: WitnessRecord,
  nowMs: number,
  config: LeaseConfig,
): boolean {
  if (watchedEpoch(record) <= record.promisedEpoch) return false;
  const sinceMs = Math.max(context.silentUntilMs, record.watchedSinceMs, record.grantedAtMs);
  return nowMs - sinceMs >= config.witnessExpiryMs;
}

function watchedEpoch(record: WitnessRecord): number {
  return Math.max(record.epoch, record.watchedEpoch);
}

function recordOf(context: WitnessContext, serverId: string): WitnessRecord {
  return context.records.get(serverId) ?? EMPTY_RECORD;
}

function withRecord(context: WitnessContext, serverId: string, record: WitnessRecord): WitnessContext {
  return { ...context, records: new Map(context.records).set(serverId, record) };
}

function update(context: WitnessContext): Update {
  return { context, commands: [] };
}
