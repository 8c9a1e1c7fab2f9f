import type { AssignOptions } from '#assignment/AssignOptions.js';
import type { Cell } from '#assignment/Cell.js';
import { clearFences } from '#assignment/ClearFences.js';
import { ensurePlacements } from '#assignment/EnsurePlacements.js';
import { listOwnedShards } from '#assignment/ListOwnedShards.js';
import type { Catalogue } from '#catalogue/Catalogue.js';
import { TickingTask } from '#core/TickingTask.js';
import { announceCell } from '#control/AnnounceCell.js';
import { CellCache } from '#control/CellCache.js';
import { CellChangeWriter } from '#control/CellChangeWriter.js';
import { CellFetcher } from '#control/CellFetcher.js';
import type { CellHome } from '#control/CellHome.js';
import { CellLoader } from '#control/CellLoader.js';
import type { CellMessage } from '#control/CellMessage.js';
import type { CellOutcome } from '#control/CellOutcome.js';
import { completeMovesTo } from '#control/CompleteMovesTo.js';
import type { ControlContext } from '#control/ControlContext.js';
import { createAssignOptions } from '#control/CreateAssignOptions.js';
import { ForeignCellReader } from '#control/ForeignCellReader.js';
import { formatCellName } from '#control/FormatCellName.js';
import type { Intent } from '#control/Intent.js';
import { isListed } from '#control/IsListed.js';
import { listOwnFences } from '#control/ListOwnFences.js';
import { listPlacements } from '#control/ListPlacements.js';
import { StartupJoinWindow } from '#control/StartupJoinWindow.js';
import { emptyIntent } from '#control/EmptyIntent.js';
import { notifyMembers } from '#control/NotifyMembers.js';
import { parseCellName } from '#control/ParseCellName.js';
import { StoreHealthTracker } from '#control/StoreHealthTracker.js';
import type { Suspect } from '#control/Suspect.js';
import { SuspectList } from '#control/SuspectList.js';
import type { SuspectReport } from '#control/SuspectReport.js';
import { takeOverSuspects } from '#control/TakeOverSuspects.js';
import type { TaskLinks } from '#control/TaskLinks.js';
import { UsableShards } from '#control/UsableShards.js';

type MessageOf<T extends CellMessage['type']> = Extract<CellMessage, { readonly type: T }>;

/** Suspects of a cell that are reported within this time go into one write. */
const SUSPECT_COLLECTION_MS = 100;
const TICK_INTERVAL_MS = 500;
/** Satisfied fences are cleared together after this delay; until then they only take space in the cell. */
const CLEAR_FENCES_DELAY_MS = 1_000;

/**
 * Holds this daemon's cell and the cells fetched on demand, writes all cell changes, and tells the request path which
 * shards this daemon may use.
 */
export class CellTask extends TickingTask<CellMessage> {
  private readonly context: ControlContext;
  private readonly links: TaskLinks;
  private readonly changes: CellChangeWriter;
  private readonly storeHealth: StoreHealthTracker;
  private readonly fetcher: CellFetcher;
  private readonly foreignCells: ForeignCellReader;
  private readonly joinWindow = new StartupJoinWindow();
  private readonly cells = new CellCache();
  private readonly suspects = new SuspectList();
  private readonly shards = new UsableShards();
  private home: CellHome | undefined;
  private catalogue: Catalogue | undefined;
  private intent: Intent = emptyIntent;
  private lease = { epoch: 0, leaseEndMs: Number.NEGATIVE_INFINITY };
  private isClearing = false;
  private isPlacing = false;

  /** `writer` is unique to this run of the process. */
  public constructor(context: ControlContext, links: TaskLinks, writer: string) {
    super(context.clock);
    this.context = context;
    this.links = links;
    this.storeHealth = new StoreHealthTracker(context.random);
    this.changes = new CellChangeWriter(context, writer, this.storeHealth, (outcome) =>
      this.publishOutcome(outcome),
    );
    const loader = new CellLoader(context, this.storeHealth);
    this.fetcher = new CellFetcher(context, this.cells, loader, (name, cell) =>
      this.post({ type: 'fetchEnded', name, cell }),
    );
    this.foreignCells = new ForeignCellReader(context.clock, loader);
    this.scheduleTick(TICK_INTERVAL_MS);
  }

  public override stop(): void {
    super.stop();
    this.changes.stop();
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
        this.adoptCell(message.cell);
        return;
      case 'seen':
        this.fetcher.compareVersion(message, this.home?.name);
        return;
      case 'refresh':
        this.fetcher.refresh(message);
        return;
      case 'fetch':
        this.fetcher.fetchFor(message);
        return;
      case 'read':
        message.reply(this.cells.get(message.name));
        return;
      case 'fetchEnded':
        if (message.cell !== undefined) this.adoptCell(message.cell);
        this.fetcher.end(message.name);
        return;
      case 'withhold':
        this.withhold(message);
        return;
      case 'restore':
        this.shards.restore(message.shardIds);
        this.refreshUsable();
        return;
      case 'complete':
        void this.completeMoves(message);
        return;
      case 'change':
        void this.changeOwnCell(message);
        return;
      case 'findWitnesses':
        void this.findWitnesses().then(message.reply);
        return;
      case 'status':
        this.replyStatus(message.reply);
        return;
      case 'tick':
        this.scheduleTick(TICK_INTERVAL_MS);
        this.addPlacements();
        this.fetcher.fetchRandomCell(this.catalogue, this.home?.name);
    }
  }

  // Takeover

  private collectSuspect(report: SuspectReport): void {
    if (this.suspects.isEmpty) {
      this.context.clock.schedule(SUSPECT_COLLECTION_MS, () => this.post({ type: 'takeOver' }));
    }
    this.suspects.add({ ...report, atMs: this.nowMs() });
  }

  /** Takes over the collected suspects. Drops them while the store fails, because witnesses repeat their reports. */
  private takeOver(): void {
    const suspects = this.suspects.takeAll();
    if (!this.storeHealth.mayCall(this.nowMs())) return;
    for (const [name, reports] of suspects) void this.writeTakeover(name, reports);
  }

  private async writeTakeover(name: string, suspects: readonly Suspect[]): Promise<void> {
    const address = parseCellName(name);
    if (address === undefined) return;
    await this.changes.write({
      changeName: 'takeover',
      peer: suspects.map(({ serverId }) => serverId).join('+'),
      ...address,
      apply: (cell) => takeOverSuspects(cell, suspects, this.nowMs(), this.assignOptions(address.service)),
    });
  }

  private noteSatisfied(fenceId: number): void {
    this.shards.satisfy(fenceId);
    this.refreshUsable();
    this.scheduleClearing();
  }

  private scheduleClearing(): void {
    if (this.isClearing) return;
    this.isClearing = true;
    const delayMs = CLEAR_FENCES_DELAY_MS * (1 + this.context.random.fraction());
    this.context.clock.schedule(delayMs, () => this.post({ type: 'clearFences' }));
  }

  private async clearSatisfied(): Promise<void> {
    const { service, index, facts } = this.requireHome();
    const apply = (cell: Cell): Cell | undefined => {
      const own = listOwnFences(cell, facts.serverId).map((fence) => fence.id);
      const ids = own.filter((id) => this.shards.isSatisfied(id));
      return ids.length === 0 ? undefined : clearFences(cell, facts.serverId, ids);
    };
    const outcome = await this.changes.write({ changeName: 'clearFences', service, index, apply });
    this.isClearing = false;
    if (outcome.type === 'failed' || outcome.type === 'undecided') this.scheduleClearing();
  }

  // Changes requested by other tasks

  /** Emits the ownership update before the requests: if a later update lists a shard again, its move has failed. */
  private withhold({ requests }: MessageOf<'withhold'>): void {
    this.shards.withhold(requests.map(({ shardId }) => shardId));
    this.refreshUsable();
    for (const request of requests) this.links.emit(request);
  }

  /** Writes planned moves. If the store's reply is lost, the shards stay withheld until the result is known. */
  private async completeMoves({ moves, to, incarnation, reply }: MessageOf<'complete'>): Promise<void> {
    const { service, index } = this.requireHome();
    const apply = (cell: Cell): Cell | undefined =>
      isListed(cell, this.home) ? completeMovesTo(cell, moves, to, incarnation) : undefined;
    const change = { changeName: 'move', peer: to, service, index, apply };
    const outcome = await this.changes.writeUntilSettled(change);
    if (outcome !== undefined) reply(outcome);
  }

  private async changeOwnCell({ changeName, change, pending, reply }: MessageOf<'change'>): Promise<void> {
    const { service, index } = this.requireHome();
    reply(await this.changes.write({ changeName, service, index, apply: change, pending }));
  }

  private addPlacements(): void {
    const cell = this.ownCell();
    if (cell === undefined || !isListed(cell, this.home) || this.isPlacing) return;
    if (!this.joinWindow.isOver(cell, this.nowMs())) return;
    const { service, index } = this.requireHome();
    const apply = (current: Cell): Cell =>
      ensurePlacements(current, listPlacements(this.catalogue, service), this.assignOptions(service));
    if (apply(cell) === cell) return;
    this.isPlacing = true;
    void this.changes.write({ changeName: 'placements', service, index, apply }).then(() => {
      this.isPlacing = false;
    });
  }

  // Held cells

  /** Adopts the cell that a write found or stored, and notifies the members of a stored one. */
  private publishOutcome(outcome: CellOutcome): void {
    if ('cell' in outcome && outcome.cell !== undefined) this.adoptCell(outcome.cell);
    if (outcome.type === 'accepted') notifyMembers(this.context, outcome.cell);
  }

  private adoptCell(cell: Cell): void {
    const name = formatCellName(cell.service, cell.index);
    if (!this.cells.put(name, cell)) return;
    const directory = this.cells.directory();
    announceCell(this.links, name, cell, directory);
    if (name !== this.home?.name) return;
    this.links.spread({ type: 'ownCell', name, cell });
    this.links.move({ type: 'cell', cell });
    const fences = listOwnFences(cell, this.home.facts.serverId);
    this.links.fence({ type: 'fences', fences });
    this.shards.forgetCleared(cell);
    if (fences.some((fence) => fence.witnesses.some((id) => !directory.has(id)))) void this.findWitnesses();
    this.refreshUsable();
    this.links.membership({ type: 'cell', cell });
  }

  private refreshUsable(): void {
    const cell = this.ownCell();
    const active = isListed(cell, this.home) ? cell : undefined;
    this.shards.update(active, this.context.settings.serverId);
    this.emitOwnership();
  }

  private emitOwnership(): void {
    const { epoch, leaseEndMs } = this.lease;
    this.links.emit({ type: 'ownership', epoch, leaseEndMs, shards: this.shards.current });
  }

  /** Reads cells of other services if this daemon's cell has too few witness candidates. */
  private async findWitnesses(): Promise<void> {
    const found = await this.foreignCells.readIfDue(this.requireHome(), this.ownCell(), this.catalogue);
    for (const cell of found) this.adoptCell(cell);
  }

  // State

  private assignOptions(service: string): AssignOptions {
    return createAssignOptions(service, this.catalogue, this.intent, this.cells.directory());
  }

  private ownCell(): Cell | undefined {
    return this.home && this.cells.get(this.home.name);
  }

  private requireHome(): CellHome {
    if (this.home === undefined) throw new Error('the control plane has not started');
    return this.home;
  }

  private nowMs(): number {
    return this.context.clock.monotonicMs();
  }

  private replyStatus(reply: MessageOf<'status'>['reply']): void {
    const cell = this.ownCell();
    const { serverId } = this.context.settings;
    reply({
      cellName: this.home?.name ?? '',
      cellVersion: cell?.version ?? 0,
      ownedShards: cell === undefined ? 0 : listOwnedShards(cell, serverId).length,
      usableShards: this.shards.current.size,
      storeReachable: this.storeHealth.isReachable,
    });
  }
}
