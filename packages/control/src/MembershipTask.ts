import type { AssignOptions } from '#assignment/AssignOptions.js';
import type { Cell } from '#assignment/Cell.js';
import { findMember } from '#assignment/FindMember.js';
import { listOtherMembers } from '#assignment/ListOtherMembers.js';
import { listOwnedShards } from '#assignment/ListOwnedShards.js';
import type { Member } from '#assignment/Member.js';
import { removeMember } from '#assignment/RemoveMember.js';
import { setMemberState } from '#assignment/SetMemberState.js';
import type { Catalogue } from '#catalogue/Catalogue.js';
import { advanceChart } from '#chart/AdvanceChart.js';
import { compileChart } from '#chart/CompileChart.js';
import { TickingTask } from '#core/TickingTask.js';
import { Backoff } from '#control/Backoff.js';
import type { CellHome } from '#control/CellHome.js';
import type { CellOutcome } from '#control/CellOutcome.js';
import type { ControlContext } from '#control/ControlContext.js';
import { createAssignOptions } from '#control/CreateAssignOptions.js';
import type { Directory } from '#control/Directory.js';
import type { Intent } from '#control/Intent.js';
import { isListed } from '#control/IsListed.js';
import { listPlacements } from '#control/ListPlacements.js';
import type { MembershipCommand } from '#control/MembershipCommand.js';
import type { MembershipMessage } from '#control/MembershipMessage.js';
import { membershipRules } from '#control/MembershipRules.js';
import { emptyIntent } from '#control/EmptyIntent.js';
import { planRegistration } from '#control/PlanRegistration.js';
import type { RegistrationRequest } from '#control/RegistrationRequest.js';
import type { TaskLinks } from '#control/TaskLinks.js';
import type { PendingWrite } from '#store/PendingWrite.js';
import file from '../charts/membership.json' with { type: 'json' };

type MessageOf<T extends MembershipMessage['type']> = Extract<MembershipMessage, { readonly type: T }>;

const CHART = compileChart('membership.json', file, membershipRules);
const TICK_INTERVAL_MS = 500;
/**
 * Time for which a reported witness is remembered as silent. A holder that no peer answers would otherwise replace its
 * witnesses in turn, with a new epoch each time.
 */
const SILENT_WITNESS_RETENTION_MS = 10_000;
const WITNESS_COUNT = 3;

/** Keeps this daemon a member of its cell: joins, renews its epoch, replaces witnesses, drains and leaves. */
export class MembershipTask extends TickingTask<MembershipMessage> {
  private readonly context: ControlContext;
  private readonly links: TaskLinks;
  private readonly backoff: Backoff;
  private membership: string = CHART.initial;
  private home: CellHome | undefined;
  private cell: Cell | undefined;
  private directory: Directory = new Map();
  private catalogue: Catalogue | undefined;
  private intent: Intent = emptyIntent;
  private leaseEndMs = Number.NEGATIVE_INFINITY;
  private reason: RegistrationRequest['reason'] = 'join';
  /** Witnesses that left renewals unanswered, with the monotonic time of the last report. */
  private lastSilentMs: ReadonlyMap<string, number> = new Map();
  private wasMember = false;
  /** Time at which the first write of the newest epoch began. */
  private startedMs = 0;
  private pending: readonly PendingWrite[] = [];
  private registerNotBeforeMs = 0;
  private drainReplies: readonly (() => void)[] = [];
  private isDraining = false;
  private isResigning = false;
  private isLeaving = false;

  public constructor(context: ControlContext, links: TaskLinks) {
    super(context.clock);
    this.context = context;
    this.links = links;
    this.backoff = new Backoff(context.random);
    this.scheduleTick(TICK_INTERVAL_MS);
  }

  protected override receive(message: MembershipMessage): void {
    switch (message.type) {
      case 'start':
        this.home = message.home;
        this.advance('start');
        return;
      case 'cell':
        this.adoptCell(message.cell);
        return;
      case 'directory':
        this.directory = message.directory;
        return;
      case 'catalogue':
        this.catalogue = message.catalogue;
        return;
      case 'intent':
        this.intent = message.intent;
        // Fences count a witness that is confirmed as lost like a promise, so this server id must not take part again.
        if (message.intent.confirmedLost.includes(this.context.settings.serverId)) this.advance('replaced');
        return;
      case 'lease':
        this.leaseEndMs = message.leaseEndMs;
        return;
      case 'register':
        this.requestRegistration(message);
        return;
      case 'registerEnded':
        this.endRegistration(message);
        return;
      case 'retry':
        this.advance('retry');
        return;
      case 'drain':
        this.isDraining = true;
        this.drainReplies = [...this.drainReplies, message.reply];
        void this.beginDrain();
        return;
      case 'drainRetry':
        void this.beginDrain();
        return;
      case 'resign':
        this.isResigning = true;
        this.resign();
        return;
      case 'leaveEnded':
        this.endLeave(message.outcome);
        return;
      case 'reachable':
        this.advance('reachable');
        return;
      case 'status':
        message.reply(this.membership);
        return;
      case 'tick':
        this.scheduleTick(TICK_INTERVAL_MS);
        this.improveWitnesses();
        this.checkIsolation();
        this.leaveIfEmpty();
        this.resign();
    }
  }

  private advance(event: string): void {
    const snapshot = { value: this.membership, context: undefined };
    const step = advanceChart(CHART, snapshot, { type: event });
    if (step.snapshot.value !== this.membership) {
      const log = { step: 'join', from: this.membership, to: step.snapshot.value } as const;
      this.context.logger.log('membership', log);
    }
    this.membership = step.snapshot.value;
    for (const command of step.commands) this.execute(command);
  }

  private execute(command: MembershipCommand): void {
    switch (command) {
      case 'write':
        void this.writeRegistration();
        return;
      case 'startEpoch':
        this.startEpoch();
        return;
      case 'refuseEpoch':
        this.links.lease({ type: 'registrationRefused' });
        return;
      case 'retryLater':
        this.context.clock.schedule(this.backoff.delayMs(), () => this.post({ type: 'retry' }));
        return;
      case 'giveUp':
        this.giveUp('isolated');
    }
  }

  private adoptCell(cell: Cell): void {
    if (cell.version <= (this.cell?.version ?? 0)) return;
    this.cell = cell;
    this.checkMembership();
  }

  private checkMembership(): void {
    const { cell, home } = this;
    if (cell === undefined || home === undefined || !this.wasMember || isListed(cell, home)) return;
    const member = findMember(cell, home.facts.serverId);
    if (member !== undefined && member.incarnation !== home.facts.incarnation) this.advance('replaced');
    else if (this.drainReplies.length > 0) this.endLeave({ type: 'unchanged', cell });
    else {
      this.reason = 'join';
      this.advance('takenOver');
    }
  }

  // Registration

  private requestRegistration({ reason, silentWitnesses }: MessageOf<'register'>): void {
    const nowMs = this.context.clock.monotonicMs();
    const { cell } = this;
    if (this.membership !== 'member' || cell === undefined || nowMs < this.registerNotBeforeMs) return;
    this.reason = reason;
    const recent = [...this.lastSilentMs].filter(([, atMs]) => nowMs - atMs < SILENT_WITNESS_RETENTION_MS);
    this.lastSilentMs = new Map([...recent, ...silentWitnesses.map((id) => [id, nowMs] as const)]);
    if (planRegistration(cell, this.buildRegistrationRequest()).type === 'keep') {
      this.links.cell({ type: 'findWitnesses', reply: () => undefined });
      return;
    }
    this.advance('register');
  }

  private buildRegistrationRequest(): RegistrationRequest {
    const { facts, service } = this.requireHome();
    return {
      facts,
      wasMember: this.wasMember,
      isLeaving: this.isDraining,
      reason: this.reason,
      silentWitnesses: [...this.lastSilentMs.keys()],
      placements: listPlacements(this.catalogue, service),
      options: this.assignOptions(service),
    };
  }

  private async writeRegistration(): Promise<void> {
    await new Promise<void>((reply) => this.links.cell({ type: 'findWitnesses', reply }));
    let replaced = false;
    let isFirst = this.pending.length === 0;
    const outcome = await this.changeCell('register', this.pending, (cell) => {
      const plan = planRegistration(cell, this.buildRegistrationRequest());
      replaced = plan.type === 'replaced';
      if (plan.type !== 'write') return undefined;
      // Reported right before the write, because renewals sent from now on don't extend the lease. A failing read
      // before this must not have that effect.
      if (isFirst) this.startedMs = this.context.clock.monotonicMs();
      isFirst = false;
      this.links.lease({ type: 'registering', startedMs: this.startedMs });
      return plan.cell;
    });
    this.post({ type: 'registerEnded', outcome, replaced });
  }

  private endRegistration({ outcome, replaced }: MessageOf<'registerEnded'>): void {
    const isFailure = outcome.type === 'failed' || outcome.type === 'undecided';
    this.backoff.noteResult(outcome.type !== 'accepted');
    const pauseMs = isFailure ? this.backoff.delayMs() : 0;
    this.registerNotBeforeMs = this.context.clock.monotonicMs() + pauseMs;
    this.pending = outcome.type === 'undecided' ? outcome.pending : [];
    if (outcome.type === 'undecided') this.advance('undecided');
    else if (replaced) this.advance('replaced');
    else if (outcome.type === 'accepted' && isListed(outcome.cell, this.home)) {
      this.cell = outcome.cell;
      this.advance('accepted');
    } else this.advance('failed');
    this.checkMembership();
    // A join in progress may have been written after the drain, which then found no member to mark as draining.
    if (this.isDraining && this.ownMember()?.state !== 'draining') void this.beginDrain();
  }

  private startEpoch(): void {
    const member = this.ownMember();
    if (member === undefined || this.home === undefined) return;
    this.wasMember = true;
    const { epoch, witnesses } = member;
    const { startedMs } = this;
    this.links.lease({ type: 'registered', epoch, witnesses, startedMs, cellName: this.home.name });
  }

  /** Requests better witnesses while fewer than three witnesses of this member are active. */
  private improveWitnesses(): void {
    const own = this.ownMember();
    if (own === undefined || this.membership !== 'member') return;
    const usable = own.witnesses.filter((id) => this.directory.get(id)?.state === 'active');
    if (usable.length >= WITNESS_COUNT) return;
    this.post({ type: 'register', reason: 'witnesses', silentWitnesses: [] });
  }

  // Isolation

  /**
   * Detects a member whose renewals reach its witnesses but that receives no replies: it has no lease, and yet its
   * witnesses don't suspect it. It gives its shards up itself if the store is reachable. The time limit exceeds the
   * silent period of the witnesses, in case all of them restart.
   */
  private checkIsolation(): void {
    const { leaseConfig } = this.context;
    const nowMs = this.context.clock.monotonicMs();
    if (this.membership === 'isolated') void this.probePeer();
    const { cell } = this;
    const own = this.ownMember();
    if (this.membership !== 'member' || cell === undefined || own === undefined) return;
    const lastActiveMs = Math.max(this.leaseEndMs, this.startedMs);
    if (nowMs < lastActiveMs + leaseConfig.silentMs + 2 * leaseConfig.witnessExpiryMs) return;
    const others = cell.members.filter((member) => member.state === 'active' && member !== own);
    if (others.length > 0 && listOwnedShards(cell, own.serverId).length > 0) this.advance('isolated');
  }

  /** Requests a takeover of this member's shards, as its witnesses do when it is silent. */
  private giveUp(cause: 'isolated' | 'resigned'): void {
    const own = this.ownMember();
    if (own === undefined || this.home === undefined) return;
    const { serverId, epoch } = own;
    this.context.logger.log(cause, { step: 'lease', epoch });
    const report = { cellName: this.home.name, serverId, epoch };
    this.links.cell({ type: 'suspect', report });
  }

  private async probePeer(): Promise<void> {
    const peers = listOtherMembers(this.directory.values(), this.context.settings.serverId);
    const peer = this.context.random.pick(peers);
    if (peer === undefined) return;
    const options = { channel: 'udp', timeoutMs: TICK_INTERVAL_MS } as const;
    const response = await this.context.transport.call(peer, 'probe', {}, options);
    if (response.isRight()) this.post({ type: 'reachable' });
  }

  // Leaving

  private async beginDrain(): Promise<void> {
    const { home } = this;
    if (home === undefined) {
      this.endLeave({ type: 'unchanged', cell: undefined });
      return;
    }
    const drain = (cell: Cell): Cell => setMemberState(cell, [home.facts.serverId], 'draining');
    const outcome = await this.changeCell('drain', [], drain);
    const isFailure = outcome.type === 'failed' || outcome.type === 'undecided';
    this.backoff.noteResult(isFailure);
    if (isFailure)
      this.context.clock.schedule(this.backoff.delayMs(), () => this.post({ type: 'drainRetry' }));
    else if (this.pending.length === 0) this.post({ type: 'leaveEnded', outcome });
  }

  /** A draining member leaves the cell once its last shard has moved. */
  private leaveIfEmpty(): void {
    const { cell } = this;
    const own = this.ownMember();
    if (cell === undefined || own?.state !== 'draining' || this.isLeaving) return;
    if (this.drainReplies.length === 0 || listOwnedShards(cell, own.serverId).length > 0) return;
    this.isLeaving = true;
    const remove = (current: Cell): Cell =>
      isListed(current, this.home) ? removeMember(current, own.serverId).orDefault(current) : current;
    void this.changeCell('leave', [], remove).then((outcome) => this.post({ type: 'leaveEnded', outcome }));
  }

  /** Requests the takeover at each tick until it succeeds, which ends the drain. */
  private resign(): void {
    if (this.isResigning && isListed(this.cell, this.home)) this.giveUp('resigned');
  }

  private endLeave(outcome: CellOutcome): void {
    this.isLeaving = false;
    const hasLeft = 'cell' in outcome && !isListed(outcome.cell, this.home);
    if (!hasLeft) return;
    this.advance('left');
    for (const reply of this.drainReplies) reply();
    this.drainReplies = [];
  }

  // State

  private changeCell(
    changeName: string,
    pending: readonly PendingWrite[],
    change: (cell: Cell) => Cell | undefined,
  ): Promise<CellOutcome> {
    return new Promise((reply) => this.links.cell({ type: 'change', changeName, pending, change, reply }));
  }

  private assignOptions(service: string): AssignOptions {
    return createAssignOptions(service, this.catalogue, this.intent, this.directory);
  }

  private requireHome(): CellHome {
    if (this.home === undefined) throw new Error('the control plane has not started');
    return this.home;
  }

  private ownMember(): Member | undefined {
    return this.cell && this.home && findMember(this.cell, this.home.facts.serverId);
  }
}
