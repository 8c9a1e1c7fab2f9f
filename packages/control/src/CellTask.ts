import type { AssignOptions } from '#assignment/AssignOptions.js';
import type { Cell } from '#assignment/Cell.js';
import { clearFences } from '#assignment/ClearFences.js';
import { completeMove } from '#assignment/CompleteMove.js';
import { ensurePlacements } from '#assignment/EnsurePlacements.js';
import { findMember } from '#assignment/FindMember.js';
import { listOwnedShards } from '#assignment/ListOwnedShards.js';
import type { Member } from '#assignment/Member.js';
import type { MemberFacts } from '#assignment/MemberFacts.js';
import { planTakeover } from '#assignment/PlanTakeover.js';
import { removeMember } from '#assignment/RemoveMember.js';
import { setMemberState } from '#assignment/SetMemberState.js';
import type { Catalogue } from '#catalogue/Catalogue.js';
import { advanceChart } from '#chart/AdvanceChart.js';
import { compileChart } from '#chart/CompileChart.js';
import type { Cancel } from '#core/Cancel.js';
import { Task } from '#core/Task.js';
import { buildDirectory } from '#control/BuildDirectory.js';
import type { CellMessage } from '#control/CellMessage.js';
import type { CellOutcome } from '#control/CellOutcome.js';
import { CellWriter } from '#control/CellWriter.js';
import type { ControlContext } from '#control/ControlContext.js';
import type { Directory } from '#control/Directory.js';
import { formatCellName } from '#control/FormatCellName.js';
import type { Intent } from '#control/Intent.js';
import { listOwnFences } from '#control/ListOwnFences.js';
import { listPlacements } from '#control/ListPlacements.js';
import { listUsableShards } from '#control/ListUsableShards.js';
import type { MembershipCommand } from '#control/MembershipCommand.js';
import { MEMBERSHIP_RULES } from '#control/MembershipRules.js';
import type { OwnedShard } from '#control/OwnedShard.js';
import { parseCellName } from '#control/ParseCellName.js';
import { parseSeed } from '#control/ParseSeed.js';
import { planRegistration } from '#control/PlanRegistration.js';
import { readCell } from '#control/ReadCell.js';
import type { RegistrationRequest } from '#control/RegistrationRequest.js';
import type { SuspectReport } from '#control/SuspectReport.js';
import type { TaskLinks } from '#control/TaskLinks.js';
import type { PeerAddress } from '#rpc/PeerAddress.js';
import type { PendingWrite } from '#store/PendingWrite.js';
import file from '../charts/membership.json' with { type: 'json' };

type MessageOf<T extends CellMessage['type']> = Extract<CellMessage, { readonly type: T }>;
type Reason = RegistrationRequest['reason'];

interface Home {
  readonly facts: MemberFacts;
  readonly service: string;
  readonly index: number;
  readonly name: string;
}

interface Suspect extends SuspectReport {
  readonly atMs: number;
}

const CHART = compileChart('membership.json', file, MEMBERSHIP_RULES);
/** All suspects of a cell seen within this time go into one write. */
const COLLECT_MS = 100;
/** A report that waited longer, for example in a paused process, is checked anew by the witnesses. */
const SUSPECT_AGE_MS = 2_000;
const RETRY_MIN_MS = 100;
const RETRY_MAX_MS = 5_000;
const TICK_MS = 500;
const FETCH_TIMEOUT_MS = 2_000;
/** Satisfied fences are cleared together; they only cost space in the cell until then. */
const CLEAR_FENCES_MS = 1_000;
/** Cells of other services that a daemon reads to find witnesses outside a small cell. */
const MAX_FOREIGN_CELLS = 8;
const FOREIGN_REFRESH_MS = 2_000;
/** Cells without enough members in a region stay so for long; the store is asked less and less often. */
const FOREIGN_REFRESH_MAX_MS = 60_000;
/** A holder that hears no peer would otherwise exchange its silent witnesses in turn, with a new epoch each time. */
const SILENCE_KEPT_MS = 10_000;
const WITNESS_COUNT = 3;
const NOBODY: ReadonlyMap<string, OwnedShard> = new Map();

/** Owns the cell of the own service and the cells fetched on demand, and writes all changes of cells. */
export class CellTask extends Task<CellMessage> {
  private readonly context: ControlContext;
  private readonly links: TaskLinks;
  private readonly writer: CellWriter;
  private readonly seeds: readonly PeerAddress[];
  private membership: string = CHART.initial;
  private home: Home | undefined;
  private cells: ReadonlyMap<string, Cell> = new Map();
  private catalogue: Catalogue | undefined;
  private intent: Intent = { withdrawals: [], confirmedLost: [] };
  private lease = { epoch: 0, leaseEndMs: Number.NEGATIVE_INFINITY };
  private satisfied: ReadonlySet<number> = new Set();
  private withheld: ReadonlySet<string> = new Set();
  private usable: ReadonlyMap<string, OwnedShard> = NOBODY;
  private reason: Reason = 'join';
  /** Witnesses that left renewals unanswered, with the time of the report. */
  private silent: ReadonlyMap<string, number> = new Map();
  private wasMember = false;
  private startedMs = 0;
  private pending: readonly PendingWrite[] = [];
  private failures = 0;
  /** Time before which the store is not called for what is asked for again later. */
  private storeNotBeforeMs = 0;
  private suspects: readonly Suspect[] = [];
  private waiting: ReadonlyMap<string, readonly ((cell: Cell | undefined) => void)[]> = new Map();
  private foreignReadAtMs = Number.NEGATIVE_INFINITY;
  private foreignPauseMs = FOREIGN_REFRESH_MS;
  private drainReplies: readonly (() => void)[] = [];
  private isLeaving = false;
  private isClearing = false;
  private isPlacing = false;
  private storeReachable = true;
  private cancelTick: Cancel = () => undefined;

  /** `writer` is unique to this run of the process. */
  public constructor(context: ControlContext, links: TaskLinks, writer: string) {
    super();
    this.context = context;
    this.links = links;
    this.writer = new CellWriter(context.store, writer);
    this.seeds = context.settings.seeds.map(parseSeed);
    this.scheduleTick();
  }

  public override stop(): void {
    super.stop();
    this.cancelTick();
  }

  protected override receive(message: CellMessage): void {
    switch (message.type) {
      case 'start':
        this.home = { ...message, name: formatCellName(message.service, message.index) };
        this.advance('start');
        return;
      case 'catalogue':
        this.catalogue = message.catalogue;
        return;
      case 'intent':
        this.intent = message.intent;
        return;
      case 'lease':
        this.lease = message;
        this.emitOwnership();
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
      case 'suspect':
        this.collectSuspect(message.report);
        return;
      case 'takeOver':
        this.takeOver();
        return;
      case 'fenceSatisfied':
        this.noteSatisfied(message.fenceId);
        return;
      case 'clearFences':
        void this.clearSatisfied();
        return;
      case 'adopt':
        this.adopt(message.cell);
        return;
      case 'seen':
        this.compareVersion(message);
        return;
      case 'refresh':
        this.refresh(message);
        return;
      case 'fetch':
        this.fetchFor(message);
        return;
      case 'read':
        message.reply(this.cells.get(message.name));
        return;
      case 'fetchEnded':
        this.endFetch(message);
        return;
      case 'withhold':
        this.withhold(message);
        return;
      case 'restore':
        this.withheld = new Set([...this.withheld].filter((id) => !message.shardIds.includes(id)));
        this.refreshUsable();
        return;
      case 'complete':
        void this.completeMoves(message);
        return;
      case 'drain':
        this.drainReplies = [...this.drainReplies, message.reply];
        void this.beginDrain();
        return;
      case 'drainFailed':
        void this.beginDrain();
        return;
      case 'left':
        this.endDrain(message.outcome);
        return;
      case 'reachable':
        this.advance('reachable');
        return;
      case 'status':
        this.replyStatus(message.reply);
        return;
      case 'tick':
        this.scheduleTick();
        this.improveWitnesses();
        this.addPlacements();
        this.checkIsolation();
        this.leaveIfEmpty();
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
        this.context.clock.schedule(this.backoff(), () => this.post({ type: 'retry' }));
        return;
      case 'stopOwning':
        this.refreshUsable();
        return;
      case 'giveUp':
        this.giveUp();
    }
  }

  // Registration of the own member

  private requestRegistration({ reason, silentWitnesses }: MessageOf<'register'>): void {
    const nowMs = this.context.clock.monotonicMs();
    const cell = this.ownCell();
    if (this.membership !== 'member' || cell === undefined || nowMs < this.storeNotBeforeMs) return;
    this.reason = reason;
    const kept = [...this.silent].filter(([, atMs]) => nowMs - atMs < SILENCE_KEPT_MS);
    this.silent = new Map([...kept, ...silentWitnesses.map((id) => [id, nowMs] as const)]);
    if (planRegistration(cell, this.registration()).type === 'keep') {
      this.refreshForeign();
      return;
    }
    this.advance('register');
  }

  private registration(): RegistrationRequest {
    const { facts, service } = this.requireHome();
    return {
      facts,
      wasMember: this.wasMember,
      reason: this.reason,
      silentWitnesses: [...this.silent.keys()],
      placements: listPlacements(this.catalogue, service),
      options: this.assignOptions(service),
    };
  }

  private async writeRegistration(): Promise<void> {
    const { service, index } = this.requireHome();
    if (this.needsForeignCells()) await this.readForeignCells();
    let replaced = false;
    let isFirst = this.pending.length === 0;
    const change = (cell: Cell): Cell | undefined => {
      const plan = planRegistration(cell, this.registration());
      replaced = plan.type === 'replaced';
      if (plan.type !== 'write') return undefined;
      // The write follows at once. A failing read before it must not keep the lease from being extended.
      if (isFirst) this.startedMs = this.context.clock.monotonicMs();
      isFirst = false;
      this.links.lease({ type: 'registering', startedMs: this.startedMs });
      return plan.cell;
    };
    const outcome = await this.writer.update(service, index, change, this.pending);
    this.post({ type: 'registerEnded', outcome, replaced });
  }

  private endRegistration({ outcome, replaced }: MessageOf<'registerEnded'>): void {
    this.noteOutcome('register', outcome);
    this.pending = outcome.type === 'undecided' ? outcome.pending : [];
    if (outcome.type === 'undecided') {
      this.advance('undecided');
      return;
    }
    if (outcome.type === 'accepted') this.adoptOwn(outcome.cell);
    if (replaced) this.advance('replaced');
    else this.advance(outcome.type === 'accepted' && this.isListed() ? 'accepted' : 'failed');
    if (outcome.type === 'unchanged' && outcome.cell !== undefined) this.adopt(outcome.cell);
    this.checkMembership();
  }

  private startEpoch(): void {
    const member = this.ownMember();
    if (member === undefined) return;
    this.wasMember = true;
    const { epoch, witnesses } = member;
    const { startedMs } = this;
    this.links.lease({ type: 'registered', epoch, witnesses, startedMs, cellName: this.requireHome().name });
  }

  /** A member looks for better witnesses while it has too few or one of them left. */
  private improveWitnesses(): void {
    const cell = this.ownCell();
    const own = this.ownMember();
    if (cell === undefined || own === undefined || this.membership !== 'member') return;
    const directory = this.directory();
    const usable = own.witnesses.filter((id) => directory.get(id)?.state === 'active');
    if (usable.length >= WITNESS_COUNT) return;
    this.post({ type: 'register', reason: 'witnesses', silentWitnesses: [] });
  }

  private checkMembership(): void {
    const cell = this.ownCell();
    if (cell === undefined || !this.wasMember) return;
    const member = findMember(cell, this.requireHome().facts.serverId);
    const isOther = member !== undefined && member.incarnation !== this.requireHome().facts.incarnation;
    if (isOther) this.advance('replaced');
    else if (!this.isListed() && this.drainReplies.length > 0) this.endDrain({ type: 'unchanged', cell });
    else if (!this.isListed()) {
      this.reason = 'join';
      this.advance('taken');
    }
  }

  // Isolation

  /**
   * A member whose renewals arrive but that hears no answer has no lease, and its witnesses don't suspect it. If the
   * store is reachable it gives its shards up itself. The limit exceeds the silent period of witnesses that all restart.
   */
  private checkIsolation(): void {
    const { config } = this.context;
    const nowMs = this.context.clock.monotonicMs();
    if (this.membership === 'isolated') void this.probePeer();
    const cell = this.ownCell();
    const own = this.ownMember();
    if (this.membership !== 'member' || cell === undefined || own === undefined) return;
    const aliveMs = Math.max(this.lease.leaseEndMs, this.startedMs);
    if (nowMs < aliveMs + config.silentMs + 2 * config.witnessExpiryMs) return;
    const others = cell.members.filter((member) => member.state === 'active' && member !== own);
    if (others.length > 0 && listOwnedShards(cell, own.serverId).length > 0) this.advance('isolated');
  }

  private giveUp(): void {
    const own = this.ownMember();
    if (own === undefined) return;
    const { serverId, epoch } = own;
    this.context.logger.log('isolated', { step: 'lease', epoch });
    this.collectSuspect({ cellName: this.requireHome().name, serverId, epoch });
  }

  private async probePeer(): Promise<void> {
    const own = this.context.settings.serverId;
    const peers = [...this.directory().values()].filter(
      ({ serverId, state }) => serverId !== own && state !== 'gone',
    );
    const peer = this.context.random.pick(peers);
    if (peer === undefined) return;
    const options = { channel: 'udp', timeoutMs: TICK_MS } as const;
    const answer = await this.context.transport.call(peer, 'probe', {}, options);
    if (answer.isRight()) this.post({ type: 'reachable' });
  }

  // Takeover

  private collectSuspect(report: SuspectReport): void {
    if (this.suspects.length === 0) {
      this.context.clock.schedule(COLLECT_MS, () => this.post({ type: 'takeOver' }));
    }
    this.suspects = [...this.suspects, { ...report, atMs: this.context.clock.monotonicMs() }];
  }

  /** Suspicions are reported again at the renewal interval, so that those of a store outage may be dropped. */
  private takeOver(): void {
    const suspects = this.suspects;
    this.suspects = [];
    if (this.context.clock.monotonicMs() < this.storeNotBeforeMs) return;
    for (const name of new Set(suspects.map(({ cellName }) => cellName))) {
      const reports = suspects.filter(({ cellName }) => cellName === name);
      void this.writeTakeover(name, reports);
    }
  }

  private async writeTakeover(name: string, suspects: readonly Suspect[]): Promise<void> {
    const address = parseCellName(name);
    if (address === undefined) return;
    const { service, index } = address;
    const outcome = await this.writer.update(service, index, (cell) => {
      const oldestMs = this.context.clock.monotonicMs() - SUSPECT_AGE_MS;
      const lost = suspects.filter(
        ({ serverId, epoch, atMs }) => atMs >= oldestMs && findMember(cell, serverId)?.epoch === epoch,
      );
      const ids = lost.map(({ serverId }) => serverId);
      return planTakeover(cell, ids, this.assignOptions(service));
    });
    this.noteOutcome('takeover', outcome, suspects.map(({ serverId }) => serverId).join('+'));
    this.publish(outcome);
  }

  private noteSatisfied(fenceId: number): void {
    this.satisfied = new Set([...this.satisfied, fenceId]);
    this.refreshUsable();
    this.scheduleClearing();
  }

  private scheduleClearing(): void {
    if (this.isClearing) return;
    this.isClearing = true;
    const delayMs = CLEAR_FENCES_MS * (1 + this.context.random.fraction());
    this.context.clock.schedule(delayMs, () => this.post({ type: 'clearFences' }));
  }

  private async clearSatisfied(): Promise<void> {
    const { service, index, facts } = this.requireHome();
    const outcome = await this.writer.update(service, index, (cell) => {
      const own = listOwnFences(cell, facts.serverId).map((fence) => fence.id);
      const ids = own.filter((id) => this.satisfied.has(id));
      return ids.length === 0 ? undefined : clearFences(cell, facts.serverId, ids);
    });
    this.noteOutcome('clearFences', outcome);
    this.isClearing = false;
    this.publish(outcome);
    if (outcome.type === 'failed' || outcome.type === 'undecided') this.scheduleClearing();
  }

  // Planned moves and leaving

  /** The request follows the update: an update that lists the shard again tells that it was not moved. */
  private withhold({ requests }: MessageOf<'withhold'>): void {
    this.withheld = new Set([...this.withheld, ...requests.map(({ shardId }) => shardId)]);
    this.refreshUsable();
    for (const request of requests) this.links.emit(request);
  }

  /** A write without a reply is settled before the moves are reported; until then the shards stay withheld. */
  private async completeMoves({ moves, to, incarnation, reply }: MessageOf<'complete'>): Promise<void> {
    const { service, index } = this.requireHome();
    let pending: readonly PendingWrite[] = [];
    for (;;) {
      const change = (cell: Cell): Cell | undefined => {
        const isSame = findMember(cell, to)?.incarnation === incarnation;
        if (!isSame || !this.isListedIn(cell)) return undefined;
        return moves.reduce(
          (next, { shardId, from }) => completeMove(next, shardId, from, to).orDefault(next),
          cell,
        );
      };
      const outcome = await this.writer.update(service, index, change, pending);
      this.noteOutcome('move', outcome, to);
      if (outcome.type !== 'undecided') {
        this.publish(outcome);
        reply(outcome);
        return;
      }
      pending = outcome.pending;
      const pauseMs = this.backoff();
      await new Promise<void>((resolve) => this.context.clock.schedule(pauseMs, resolve));
    }
  }

  private async beginDrain(): Promise<void> {
    if (this.home === undefined) {
      this.post({ type: 'left', outcome: { type: 'unchanged', cell: undefined } });
      return;
    }
    const { service, index, facts } = this.home;
    const change = (cell: Cell): Cell => setMemberState(cell, [facts.serverId], 'draining');
    const outcome = await this.writer.update(service, index, change);
    this.noteOutcome('drain', outcome);
    this.publish(outcome);
    if (outcome.type !== 'failed' && outcome.type !== 'undecided') return;
    this.context.clock.schedule(this.backoff(), () => this.post({ type: 'drainFailed' }));
  }

  /** A draining member leaves the cell once its last shard has moved. */
  private leaveIfEmpty(): void {
    const cell = this.ownCell();
    const own = this.ownMember();
    if (cell === undefined || own?.state !== 'draining' || this.isLeaving) return;
    if (this.drainReplies.length === 0 || listOwnedShards(cell, own.serverId).length > 0) return;
    this.isLeaving = true;
    void this.leave();
  }

  private async leave(): Promise<void> {
    const { service, index, facts } = this.requireHome();
    const outcome = await this.writer.update(service, index, (cell) =>
      this.isListedIn(cell) ? removeMember(cell, facts.serverId).orDefault(cell) : undefined,
    );
    this.noteOutcome('leave', outcome);
    if (outcome.type === 'accepted') this.notifyMembers(outcome.cell);
    this.post({ type: 'left', outcome });
  }

  private endDrain(outcome: CellOutcome): void {
    this.isLeaving = false;
    const isOut =
      outcome.type === 'accepted' ||
      (outcome.type === 'unchanged' && (outcome.cell === undefined || !this.isListedIn(outcome.cell)));
    if (!isOut) return;
    this.advance('left');
    for (const reply of this.drainReplies) reply();
    this.drainReplies = [];
  }

  private addPlacements(): void {
    const cell = this.ownCell();
    if (cell === undefined || this.membership !== 'member' || this.isPlacing) return;
    const { service, index } = this.requireHome();
    const add = (current: Cell): Cell =>
      ensurePlacements(current, listPlacements(this.catalogue, service), this.assignOptions(service));
    if (add(cell) === cell) return;
    this.isPlacing = true;
    void this.writer.update(service, index, add).then((outcome) => {
      this.isPlacing = false;
      this.noteOutcome('placements', outcome);
      this.publish(outcome);
    });
  }

  // Cells held

  private adoptOwn(cell: Cell): void {
    this.adopt(cell);
    this.notifyMembers(cell);
  }

  private publish(outcome: CellOutcome): void {
    if (outcome.type === 'accepted') {
      this.post({ type: 'adopt', cell: outcome.cell });
      this.notifyMembers(outcome.cell);
    } else if (outcome.type === 'unchanged' && outcome.cell !== undefined) {
      this.post({ type: 'adopt', cell: outcome.cell });
    }
  }

  private notifyMembers(cell: Cell): void {
    const name = formatCellName(cell.service, cell.index);
    for (const member of cell.members) {
      if (member.serverId === this.context.settings.serverId) continue;
      this.context.transport.notify(member, 'assigned', { n: name, v: cell.version });
    }
  }

  private adopt(cell: Cell): void {
    const name = formatCellName(cell.service, cell.index);
    if (cell.version <= this.versionOf(name)) return;
    this.cells = new Map([...this.cells, [name, cell]]);
    const directory = this.directory();
    this.links.lease({ type: 'directory', directory });
    this.links.fence({ type: 'directory', directory });
    this.links.spread({ type: 'directory', directory });
    this.links.witness({ type: 'cell', name, cell });
    this.links.emit({ type: 'cell', cell });
    if (name !== this.home?.name) return;
    this.links.spread({ type: 'ownCell', name, cell });
    this.links.move({ type: 'cell', cell });
    const fences = listOwnFences(cell, this.home.facts.serverId);
    this.links.fence({ type: 'fences', fences });
    const open = new Set(cell.fences.map((fence) => fence.id));
    this.satisfied = new Set([...this.satisfied].filter((id) => open.has(id)));
    if (fences.some((fence) => fence.witnesses.some((id) => !directory.has(id)))) this.refreshForeign();
    this.refreshUsable();
    this.checkMembership();
  }

  private refreshUsable(): void {
    const cell = this.ownCell();
    const isActive = cell !== undefined && this.isListed() && !CHART.finalStates.has(this.membership);
    const { serverId } = this.context.settings;
    this.usable = isActive ? listUsableShards(cell, serverId, this.satisfied, this.withheld) : NOBODY;
    this.emitOwnership();
  }

  private emitOwnership(): void {
    const { epoch, leaseEndMs } = this.lease;
    this.links.emit({ type: 'ownership', epoch, leaseEndMs, shards: this.usable });
  }

  private compareVersion({ name, version, from }: MessageOf<'seen'>): void {
    const known = this.versionOf(name);
    if (known > 0 && version > known) this.fetch(name, from);
  }

  private refresh({ name, minVersion, from }: MessageOf<'refresh'>): void {
    if (this.versionOf(name) >= minVersion) return;
    this.fetch(name, from === undefined ? undefined : this.directory().get(from));
  }

  private fetchFor({ name, minVersion, reply }: MessageOf<'fetch'>): void {
    const cell = this.cells.get(name);
    if (cell !== undefined && cell.version >= minVersion) {
      reply(cell);
      return;
    }
    const waiting = this.waiting.get(name);
    this.fetch(name);
    this.waiting = new Map([...this.waiting, [name, [...(waiting ?? []), reply]]]);
  }

  private fetch(name: string, from?: PeerAddress): void {
    if (this.waiting.has(name)) return;
    this.waiting = new Map([...this.waiting, [name, []]]);
    void this.load(name, from).then((cell) => this.post({ type: 'fetchEnded', name, cell }));
  }

  private endFetch({ name, cell }: MessageOf<'fetchEnded'>): void {
    if (cell !== undefined) this.adopt(cell);
    const replies = this.waiting.get(name) ?? [];
    this.waiting = new Map([...this.waiting].filter(([other]) => other !== name));
    for (const reply of replies) reply(this.cells.get(name));
  }

  /** Asks the peer that holds a newer version, then a member of the cell and a seed, and the store last. */
  private async load(name: string, from?: PeerAddress): Promise<Cell | undefined> {
    const { random, settings } = this.context;
    const known = this.versionOf(name);
    const members = this.cells
      .get(name)
      ?.members.filter(({ state, serverId }) => state !== 'gone' && serverId !== settings.serverId);
    const peers = [from, random.pick(members ?? []), random.pick(this.seeds)];
    for (const peer of peers) {
      const cell = peer && (await this.fetchFrom(peer, name));
      if (cell !== undefined && cell.version > known) return cell;
    }
    return this.readStored(name);
  }

  private async fetchFrom(peer: PeerAddress, name: string): Promise<Cell | undefined> {
    const options = { channel: 'http', timeoutMs: FETCH_TIMEOUT_MS } as const;
    const answer = await this.context.transport.call(peer, 'fetch', { name }, options);
    return (answer.orDefault(null) as Cell | null) ?? undefined;
  }

  private async readStored(name: string): Promise<Cell | undefined> {
    const read = await this.context.store.get(name);
    this.storeReachable = read.isRight();
    const object = read.orDefault(undefined);
    return object && readCell(object);
  }

  // Cells of other services, whose members serve as witnesses of a small cell

  private needsForeignCells(): boolean {
    const nowMs = this.context.clock.monotonicMs();
    if (nowMs - this.foreignReadAtMs < this.foreignPauseMs) return false;
    const { facts, name } = this.requireHome();
    const members = this.cells.get(name)?.members ?? [];
    const candidates = members.filter(
      ({ region, vm, state }) => state === 'active' && region === facts.region && vm !== facts.vm,
    );
    return candidates.length < WITNESS_COUNT;
  }

  private refreshForeign(): void {
    if (this.needsForeignCells()) void this.readForeignCells();
  }

  private async readForeignCells(): Promise<void> {
    this.foreignReadAtMs = this.context.clock.monotonicMs();
    this.foreignPauseMs = Math.min(FOREIGN_REFRESH_MAX_MS, 2 * this.foreignPauseMs);
    const names = (this.catalogue?.services ?? [])
      .map(({ name }) => formatCellName(name, 0))
      .filter((name) => name !== this.home?.name)
      .slice(0, MAX_FOREIGN_CELLS);
    for (const cell of await Promise.all(names.map((name) => this.readStored(name)))) {
      if (cell !== undefined) this.adopt(cell);
    }
  }

  // State

  private assignOptions(service: string): AssignOptions {
    const graceMs = this.catalogue?.services.find(({ name }) => name === service)?.orderGraceMs ?? 0;
    const peers = [...this.directory().values()];
    return { graceMs, peers, withdrawn: this.intent.withdrawals };
  }

  private directory(): Directory {
    return buildDirectory(this.cells.values());
  }

  private ownCell(): Cell | undefined {
    return this.home && this.cells.get(this.home.name);
  }

  private ownMember(): Member | undefined {
    const cell = this.ownCell();
    return cell && this.home && findMember(cell, this.home.facts.serverId);
  }

  private isListed(): boolean {
    const cell = this.ownCell();
    return cell !== undefined && this.isListedIn(cell);
  }

  /** Whether a cell lists this very process as a member that was not taken over. */
  private isListedIn(cell: Cell): boolean {
    const member = this.home && findMember(cell, this.home.facts.serverId);
    return (
      member !== undefined && member.state !== 'gone' && member.incarnation === this.home?.facts.incarnation
    );
  }

  private requireHome(): Home {
    if (this.home === undefined) throw new Error('the control plane has not started');
    return this.home;
  }

  private versionOf(name: string): number {
    return this.cells.get(name)?.version ?? 0;
  }

  private backoff(): number {
    const limitMs = Math.min(RETRY_MAX_MS, RETRY_MIN_MS * 2 ** this.failures);
    return limitMs * (0.5 + this.context.random.fraction() / 2);
  }

  private noteOutcome(change: string, outcome: CellOutcome, peer = ''): void {
    const isConflict = outcome.type === 'failed' && outcome.code === 'storeConflict';
    const isFailure = outcome.type === 'failed' || outcome.type === 'undecided';
    this.failures = isFailure ? this.failures + 1 : 0;
    this.storeNotBeforeMs = isFailure ? this.context.clock.monotonicMs() + this.backoff() : 0;
    this.storeReachable = !isFailure || isConflict;
    const version = 'cell' in outcome ? outcome.cell?.version : undefined;
    const code = outcome.type === 'failed' ? outcome.code : undefined;
    const fields = { step: 'store', peer, change, outcome: outcome.type, version, code } as const;
    this.context.logger.log('cellWrite', fields);
  }

  private replyStatus(reply: MessageOf<'status'>['reply']): void {
    const cell = this.ownCell();
    const { serverId } = this.context.settings;
    reply({
      membership: this.membership,
      cellName: this.home?.name ?? '',
      cellVersion: cell?.version ?? 0,
      ownedShards: cell === undefined ? 0 : listOwnedShards(cell, serverId).length,
      usableShards: this.usable.size,
      storeReachable: this.storeReachable,
    });
  }

  private scheduleTick(): void {
    this.cancelTick = this.context.clock.schedule(TICK_MS, () => this.post({ type: 'tick' }));
  }
}
