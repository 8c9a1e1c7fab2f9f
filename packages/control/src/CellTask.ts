import type { AssignOptions } from '#assignment/AssignOptions.js';
import type { Cell } from '#assignment/Cell.js';
import { clearFences } from '#assignment/ClearFences.js';
import { completeMove } from '#assignment/CompleteMove.js';
import { ensurePlacements } from '#assignment/EnsurePlacements.js';
import { findMember } from '#assignment/FindMember.js';
import { listOwnedShards } from '#assignment/ListOwnedShards.js';
import { planTakeover } from '#assignment/PlanTakeover.js';
import type { Catalogue } from '#catalogue/Catalogue.js';
import type { Cancel } from '#core/Cancel.js';
import { Task } from '#core/Task.js';
import { Backoff } from '#control/Backoff.js';
import { buildDirectory } from '#control/BuildDirectory.js';
import type { CellHome } from '#control/CellHome.js';
import type { CellMessage } from '#control/CellMessage.js';
import type { CellOutcome } from '#control/CellOutcome.js';
import { CellWriter } from '#control/CellWriter.js';
import type { ControlContext } from '#control/ControlContext.js';
import { createAssignOptions } from '#control/CreateAssignOptions.js';
import type { Directory } from '#control/Directory.js';
import { formatCellName } from '#control/FormatCellName.js';
import type { Intent } from '#control/Intent.js';
import { isListed } from '#control/IsListed.js';
import { listOwnFences } from '#control/ListOwnFences.js';
import { listPlacements } from '#control/ListPlacements.js';
import { listUsableShards } from '#control/ListUsableShards.js';
import { MemberGathering } from '#control/MemberGathering.js';
import { NO_INTENT } from '#control/NoIntent.js';
import type { OwnedShard } from '#control/OwnedShard.js';
import { parseCellName } from '#control/ParseCellName.js';
import { parseSeed } from '#control/ParseSeed.js';
import { readCell } from '#control/ReadCell.js';
import type { SuspectReport } from '#control/SuspectReport.js';
import type { TaskLinks } from '#control/TaskLinks.js';
import type { PeerAddress } from '#rpc/PeerAddress.js';
import type { PendingWrite } from '#store/PendingWrite.js';
import type { ReadPurpose } from '#store/ReadPurpose.js';

type MessageOf<T extends CellMessage['type']> = Extract<CellMessage, { readonly type: T }>;

interface Suspect extends SuspectReport {
  readonly atMs: number;
}

/** All suspects of a cell seen within this time go into one write. */
const COLLECT_MS = 100;
/** A report that waited longer, for example in a paused process, is checked anew by the witnesses. */
const SUSPECT_AGE_MS = 2_000;
const TICK_MS = 500;
const FETCH_TIMEOUT_MS = 2_000;
/** Satisfied fences are cleared together; they only cost space in the cell until then. */
const CLEAR_FENCES_MS = 1_000;
/** Cells of other services that a daemon reads to find witnesses outside a small cell. */
const MAX_FOREIGN_CELLS = 8;
const FOREIGN_REFRESH_MS = 2_000;
/** Cells without enough members in a region stay so for long; the store is asked less and less often. */
const FOREIGN_REFRESH_MAX_MS = 60_000;
/**
 * Each daemon knows the members of a few other cells, so that digests mix the whole fleet and not each cell alone. One
 * cell of 11 KB a minute is 0.2 KB/s.
 */
const NEIGHBOUR_EVERY_MS = 60_000;
/** A cell of another service changes more often than its members' addresses, which are all that is needed of it. */
const FOREIGN_FETCH_EVERY_MS = 10_000;
const WITNESS_COUNT = 3;
const NOBODY: ReadonlyMap<string, OwnedShard> = new Map();

/**
 * Owns the cell of the own service and the cells fetched on demand, writes all changes of cells, and tells the request
 * path which shards this daemon may use.
 */
export class CellTask extends Task<CellMessage> {
  private readonly context: ControlContext;
  private readonly links: TaskLinks;
  private readonly writer: CellWriter;
  private readonly seeds: readonly PeerAddress[];
  private readonly backoff: Backoff;
  private readonly gathering = new MemberGathering();
  private home: CellHome | undefined;
  private cells: ReadonlyMap<string, Cell> = new Map();
  private catalogue: Catalogue | undefined;
  private intent: Intent = NO_INTENT;
  private lease = { epoch: 0, leaseEndMs: Number.NEGATIVE_INFINITY };
  private satisfied: ReadonlySet<number> = new Set();
  private withheld: ReadonlySet<string> = new Set();
  private usable: ReadonlyMap<string, OwnedShard> = NOBODY;
  /** Time before which the store is not called for what is asked for again later. */
  private storeNotBeforeMs = 0;
  private suspects: readonly Suspect[] = [];
  private waiting: ReadonlyMap<string, readonly ((cell: Cell | undefined) => void)[]> = new Map();
  private foreignReadAtMs = Number.NEGATIVE_INFINITY;
  private foreignPauseMs = FOREIGN_REFRESH_MS;
  private neighbourDueMs = 0;
  private fetchedAtMs: ReadonlyMap<string, number> = new Map();
  private isStopped = false;
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
    this.backoff = new Backoff(context.random);
    this.scheduleTick();
  }

  public override stop(): void {
    super.stop();
    this.isStopped = true;
    this.cancelTick();
  }

  protected override receive(message: CellMessage): void {
    switch (message.type) {
      case 'start':
        this.home = message.home;
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
      case 'change':
        void this.change(message);
        return;
      case 'findWitnesses':
        void this.findWitnesses().then(message.reply);
        return;
      case 'status':
        this.replyStatus(message.reply);
        return;
      case 'tick':
        this.scheduleTick();
        this.addPlacements();
        this.fetchNeighbour();
    }
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

  // Changes asked for by other tasks

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
    while (!this.isStopped) {
      const change = (cell: Cell): Cell | undefined => {
        const isSame = findMember(cell, to)?.incarnation === incarnation;
        if (!isSame || !isListed(cell, this.home)) return undefined;
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
      const pauseMs = this.backoff.pauseMs();
      await new Promise<void>((resolve) => this.context.clock.schedule(pauseMs, resolve));
    }
  }

  private async change({ what, change, pending, reply }: MessageOf<'change'>): Promise<void> {
    const { service, index } = this.requireHome();
    const outcome = await this.writer.update(service, index, change, pending);
    this.noteOutcome(what, outcome);
    this.publish(outcome);
    reply(outcome);
  }

  private addPlacements(): void {
    const cell = this.ownCell();
    if (cell === undefined || !isListed(cell, this.home) || this.isPlacing) return;
    if (!this.gathering.isComplete(cell, this.context.clock.monotonicMs())) return;
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

  private publish(outcome: CellOutcome): void {
    if ('cell' in outcome && outcome.cell !== undefined) this.adopt(outcome.cell);
    if (outcome.type === 'accepted') this.notifyMembers(outcome.cell);
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
    this.links.membership({ type: 'directory', directory });
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
    if (fences.some((fence) => fence.witnesses.some((id) => !directory.has(id)))) void this.findWitnesses();
    this.refreshUsable();
    this.links.membership({ type: 'cell', cell });
  }

  private refreshUsable(): void {
    const cell = this.ownCell();
    const isActive = cell !== undefined && isListed(cell, this.home);
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
    if (known === 0 || version <= known) return;
    const fetchedAtMs = this.fetchedAtMs.get(name) ?? Number.NEGATIVE_INFINITY;
    const isForeign = name !== this.home?.name;
    if (isForeign && this.context.clock.monotonicMs() - fetchedAtMs < FOREIGN_FETCH_EVERY_MS) return;
    this.fetch(name, 'change', from);
  }

  private fetchNeighbour(): void {
    const nowMs = this.context.clock.monotonicMs();
    const { random } = this.context;
    const service = random.pick(this.catalogue?.services ?? []);
    if (service === undefined || nowMs < this.neighbourDueMs) return;
    this.neighbourDueMs = nowMs + NEIGHBOUR_EVERY_MS * (0.5 + random.fraction());
    const name = formatCellName(service.name, random.integer(Math.max(1, service.cells)));
    if (name !== this.home?.name) this.fetch(name, 'lookUp');
    // The own cell was drawn: with few cells that is likely, and the next tick draws again.
    else this.neighbourDueMs = 0;
  }

  private refresh({ name, minVersion, from }: MessageOf<'refresh'>): void {
    if (this.versionOf(name) >= minVersion) return;
    this.fetch(name, 'change', from === undefined ? undefined : this.directory().get(from));
  }

  private fetchFor({ name, minVersion, reply }: MessageOf<'fetch'>): void {
    const cell = this.cells.get(name);
    if (cell !== undefined && cell.version >= minVersion) {
      reply(cell);
      return;
    }
    const waiting = this.waiting.get(name);
    this.fetch(name, 'lookUp');
    this.waiting = new Map([...this.waiting, [name, [...(waiting ?? []), reply]]]);
  }

  private fetch(name: string, purpose: ReadPurpose, from?: PeerAddress): void {
    if (this.waiting.has(name)) return;
    this.waiting = new Map([...this.waiting, [name, []]]);
    this.fetchedAtMs = new Map([...this.fetchedAtMs, [name, this.context.clock.monotonicMs()]]);
    void this.load(name, purpose, from).then((cell) => this.post({ type: 'fetchEnded', name, cell }));
  }

  private endFetch({ name, cell }: MessageOf<'fetchEnded'>): void {
    if (cell !== undefined) this.adopt(cell);
    const replies = this.waiting.get(name) ?? [];
    this.waiting = new Map([...this.waiting].filter(([other]) => other !== name));
    for (const reply of replies) reply(this.cells.get(name));
  }

  /** Asks the peer that holds a newer version, then a member of the cell and a seed, and the store last. */
  private async load(name: string, purpose: ReadPurpose, from?: PeerAddress): Promise<Cell | undefined> {
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
    return this.readStored(name, purpose);
  }

  private async fetchFrom(peer: PeerAddress, name: string): Promise<Cell | undefined> {
    const options = { channel: 'http', timeoutMs: FETCH_TIMEOUT_MS } as const;
    const answer = await this.context.transport.call(peer, 'fetch', { name }, options);
    return (answer.orDefault(null) as Cell | null) ?? undefined;
  }

  private async readStored(name: string, purpose: ReadPurpose): Promise<Cell | undefined> {
    const read = await this.context.store.get(name, purpose);
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

  private async findWitnesses(): Promise<void> {
    if (this.needsForeignCells()) await this.readForeignCells();
  }

  private async readForeignCells(): Promise<void> {
    this.foreignReadAtMs = this.context.clock.monotonicMs();
    this.foreignPauseMs = Math.min(FOREIGN_REFRESH_MAX_MS, 2 * this.foreignPauseMs);
    const names = (this.catalogue?.services ?? [])
      .map(({ name }) => formatCellName(name, 0))
      .filter((name) => name !== this.home?.name)
      .slice(0, MAX_FOREIGN_CELLS);
    for (const cell of await Promise.all(names.map((name) => this.readStored(name, 'lookUp')))) {
      if (cell !== undefined) this.adopt(cell);
    }
  }

  // State

  private assignOptions(service: string): AssignOptions {
    return createAssignOptions(service, this.catalogue, this.intent, this.directory());
  }

  private directory(): Directory {
    return buildDirectory(this.cells.values());
  }

  private ownCell(): Cell | undefined {
    return this.home && this.cells.get(this.home.name);
  }

  private requireHome(): CellHome {
    if (this.home === undefined) throw new Error('the control plane has not started');
    return this.home;
  }

  private versionOf(name: string): number {
    return this.cells.get(name)?.version ?? 0;
  }

  private noteOutcome(change: string, outcome: CellOutcome, peer = ''): void {
    const isConflict = outcome.type === 'failed' && outcome.code === 'storeConflict';
    const isFailure = outcome.type === 'failed' || outcome.type === 'undecided';
    this.backoff.count(isFailure);
    this.storeNotBeforeMs = this.context.clock.monotonicMs() + this.backoff.pauseMs();
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
