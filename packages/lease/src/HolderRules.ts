import type { ChartRules } from '#chart/ChartRules.js';
import type { ChartUpdate } from '#chart/ChartUpdate.js';
import { computeLeaseEnd } from '#lease/ComputeLeaseEnd.js';
import type { HolderCommand } from '#lease/HolderCommand.js';
import type { HolderContext } from '#lease/HolderContext.js';
import type { HolderEvent } from '#lease/HolderEvent.js';
import type { LeaseConfig } from '#lease/LeaseConfig.js';
import { majorityOf } from '#lease/MajorityOf.js';
import type { ReRegisterReason } from '#lease/ReRegisterReason.js';
import type { WitnessLink } from '#lease/WitnessLink.js';

/** Consecutive renewals without a reply after which a holder replaces the witness. */
const FAILURES_BEFORE_REPLACEMENT = 2;

type EventOf<T extends HolderEvent['type']> = Extract<HolderEvent, { readonly type: T }>;
type Update = ChartUpdate<HolderContext, HolderCommand>;

/** Returns the guards and actions of charts/holder.json for one configuration. */
export function holderRules(config: LeaseConfig): ChartRules<HolderContext, HolderEvent, HolderCommand> {
  return {
    guards: {
      isNewer: (context, event) => event.type === 'registered' && event.epoch > context.epoch,
      isContinuous: (context, event) => 'nowMs' in event && isContinuous(context, event.nowMs, config),
      isSuperseded: (context, event) =>
        event.type === 'renewReply' && Math.max(context.promisedEpoch, event.promisedEpoch) >= context.epoch,
      isOvertaken: (context) => context.promisedEpoch >= context.epoch,
      isHeld: (context, event) => {
        const next = event.type === 'renewReply' ? countReply(context, event, config).context : context;
        return 'nowMs' in event && event.nowMs < next.leaseEndMs;
      },
      isForgotten: (context) => {
        const remembering = context.links.filter(({ forgot }) => !forgot).length;
        return remembering < majorityOf(context.links.length);
      },
      isUnregistered: (context) => context.epoch === 0,
      isRoundDue: (context, event) => event.type === 'tick' && isRoundDue(context, event.nowMs, config),
    },
    actions: {
      noteWrite: (context, event) =>
        update(event.type === 'registering' ? noteWrite(context, event.startedMs) : context),
      dropWrite: (context) => update({ ...context, writeStartedMs: undefined }),
      startEpoch: (context, event) =>
        event.type === 'registered' ? startEpoch(context, event, config) : update(context),
      sendRenewals: (context, event) =>
        event.type === 'tick' && isRoundDue(context, event.nowMs, config)
          ? sendRound(context, event.nowMs, config)
          : update(context),
      startRound: (context, event) =>
        update(event.type === 'tick' ? { ...context, roundAtMs: event.nowMs } : context),
      countReply: (context, event) =>
        event.type === 'renewReply' ? countReply(context, event, config) : update(context),
      reportSilence: (context, event) =>
        silentWitnesses(context).length > 0
          ? reportOncePerRound(context, event, 'witnessSilent')
          : update(context),
      reportExpired: (context, event) => reportOncePerRound(context, event, 'expired'),
      reportSuperseded: (context) => report(context, 'superseded'),
    },
  };
}

function isContinuous(context: HolderContext, nowMs: number, config: LeaseConfig): boolean {
  return nowMs < Math.max(context.leaseEndMs, context.startedMs + config.leaseMs);
}

function isRoundDue(context: HolderContext, nowMs: number, config: LeaseConfig): boolean {
  return nowMs - context.roundAtMs >= config.renewEveryMs;
}

/** Keeps the earliest of several writes whose results are unknown, because any of them may have taken effect. */
function noteWrite(context: HolderContext, startedMs: number): HolderContext {
  return { ...context, writeStartedMs: Math.min(startedMs, context.writeStartedMs ?? Infinity) };
}

/** Starts a new epoch. The lease of the previous one stays valid; it ends at most `leaseMs` after the write began. */
function startEpoch(context: HolderContext, event: EventOf<'registered'>, config: LeaseConfig): Update {
  const started: HolderContext = {
    ...context,
    epoch: event.epoch,
    startedMs: Math.min(event.startedMs, context.writeStartedMs ?? Infinity),
    writeStartedMs: undefined,
    links: event.witnesses.map((witness) => createLink(context, witness)),
  };
  const { epoch, leaseEndMs } = started;
  const round = sendRound(started, event.nowMs, config);
  return { ...round, commands: [{ type: 'leaseChanged', epoch, leaseEndMs }, ...round.commands] };
}

function createLink(context: HolderContext, witness: string): WitnessLink {
  const known = context.links.find((link) => link.witness === witness);
  return {
    witness,
    nonce: known?.nonce ?? '',
    grantedSentAtMs: undefined,
    lastSentAtMs: undefined,
    failures: 0,
    answered: false,
    forgot: false,
  };
}

function sendRound(context: HolderContext, nowMs: number, config: LeaseConfig): Update {
  const links = context.links.map((link) => noteSent(link, nowMs));
  const commands = links.map((link) => renewCommand(context, link, nowMs, config));
  return { context: { ...context, roundAtMs: nowMs, links }, commands };
}

function noteSent(link: WitnessLink, nowMs: number): WitnessLink {
  const failed = link.lastSentAtMs !== undefined && !link.answered;
  return {
    ...link,
    lastSentAtMs: nowMs,
    answered: false,
    failures: failed ? link.failures + 1 : link.failures,
  };
}

function renewCommand(
  context: HolderContext,
  link: WitnessLink,
  nowMs: number,
  config: LeaseConfig,
): HolderCommand {
  const { serverId, epoch } = context;
  const continuous = isContinuous(context, nowMs, config);
  const request = { serverId, epoch, sentAtMs: nowMs, continuous, nonce: link.nonce };
  return { type: 'sendRenew', witness: link.witness, request };
}

function countReply(context: HolderContext, event: EventOf<'renewReply'>, config: LeaseConfig): Update {
  const link = context.links.find(({ witness }) => witness === event.witness);
  if (link === undefined || event.epoch !== context.epoch) return update(context);
  const updated = updateLink(context, link, event);
  const resend = needsResend(link, event);
  const next = resend ? { ...updated, lastSentAtMs: event.nowMs, answered: false } : updated;
  const links = context.links.map((other) => (other === link ? next : other));
  const changed: HolderContext = {
    ...context,
    links,
    promisedEpoch: Math.max(context.promisedEpoch, event.promisedEpoch),
    leaseEndMs: Math.max(context.leaseEndMs, computeLeaseEnd(links, config)),
  };
  return {
    context: changed,
    commands: replyCommands(context, changed, resend ? next : undefined, event, config),
  };
}

function replyCommands(
  before: HolderContext,
  after: HolderContext,
  resend: WitnessLink | undefined,
  event: EventOf<'renewReply'>,
  config: LeaseConfig,
): readonly HolderCommand[] {
  const { epoch, leaseEndMs } = after;
  const lease: readonly HolderCommand[] =
    leaseEndMs > before.leaseEndMs ? [{ type: 'leaseChanged', epoch, leaseEndMs }] : [];
  return resend === undefined ? lease : [...lease, renewCommand(after, resend, event.nowMs, config)];
}

/** Applies a reply to its link. A renewal sent after the write of a higher epoch began doesn't extend the lease. */
function updateLink(context: HolderContext, link: WitnessLink, event: EventOf<'renewReply'>): WitnessLink {
  const { sentAtMs, granted, nonce } = event;
  const isNewest = sentAtMs >= (link.lastSentAtMs ?? -Infinity);
  const extendsLease = granted && sentAtMs <= (context.writeStartedMs ?? Infinity);
  return {
    ...link,
    nonce: isNewest ? nonce : link.nonce,
    grantedSentAtMs: extendsLease
      ? Math.max(sentAtMs, link.grantedSentAtMs ?? -Infinity)
      : link.grantedSentAtMs,
    failures: 0,
    answered: link.answered || isNewest,
    forgot: isNewest ? !granted && nonce === link.nonce : link.forgot,
  };
}

/** Whether to resend a renewal at once, because the witness refused it only for its outdated nonce. */
function needsResend(link: WitnessLink, event: EventOf<'renewReply'>): boolean {
  const isNewest = event.sentAtMs >= (link.lastSentAtMs ?? -Infinity);
  return isNewest && !event.granted && event.nonce !== link.nonce && event.promisedEpoch < event.epoch;
}

function silentWitnesses(context: HolderContext): readonly string[] {
  return context.links
    .filter(({ failures }) => failures >= FAILURES_BEFORE_REPLACEMENT)
    .map(({ witness }) => witness);
}

function reportOncePerRound(context: HolderContext, event: HolderEvent, reason: ReRegisterReason): Update {
  return event.type === 'tick' && context.roundAtMs === event.nowMs
    ? report(context, reason)
    : update(context);
}

function report(context: HolderContext, reason: ReRegisterReason): Update {
  return {
    context,
    commands: [{ type: 'reRegister', reason, silentWitnesses: silentWitnesses(context) }],
  };
}

function update(context: HolderContext): Update {
  return { context, commands: [] };
}
