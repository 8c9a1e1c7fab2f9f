import { Left, Right, type Either } from 'purify-ts';
import { AdminBackend } from '#admin/AdminBackend.js';
import type { CatalogueWrite } from '#admin/CatalogueWrite.js';
import type { DaemonStatus } from '#admin/DaemonStatus.js';
import type { DrainProgress } from '#admin/DrainProgress.js';
import type { ExplainedDaemon } from '#admin/ExplainedDaemon.js';
import type { ExplainQuery } from '#admin/ExplainQuery.js';
import type { HeldRequest } from '#admin/HeldRequest.js';
import type { HistoryItem } from '#admin/HistoryItem.js';
import type { HotKey } from '#admin/HotKey.js';
import type { IntentWrite } from '#admin/IntentWrite.js';
import type { KeyOwner } from '#admin/KeyOwner.js';
import type { KeyOwnerQuery } from '#admin/KeyOwnerQuery.js';
import type { MemberFilter } from '#admin/MemberFilter.js';
import type { MetricsScope } from '#admin/MetricsScope.js';
import type { Page } from '#admin/Page.js';
import type { PageRequest } from '#admin/PageRequest.js';
import type { Propagation } from '#admin/Propagation.js';
import type { ShardMove } from '#admin/ShardMove.js';
import type { VersionedIntent } from '#admin/VersionedIntent.js';
import type { WriteConflict } from '#admin/WriteConflict.js';
import { findCellIndex } from '#assignment/FindCellIndex.js';
import { findMember } from '#assignment/FindMember.js';
import type { Member } from '#assignment/Member.js';
import type { VersionedCatalogue } from '#catalogue/VersionedCatalogue.js';
import type { Intent } from '#control/Intent.js';
import type { PutOutcome } from '#control/PutOutcome.js';
import type { Withdrawal } from '#control/Withdrawal.js';
import { RouterError } from '#core/RouterError.js';
import type { AdminDependencies } from '#daemon/AdminDependencies.js';
import { collectMetrics } from '#daemon/CollectMetrics.js';
import { paginate } from '#daemon/Paginate.js';
import type { DaemonReport } from '#daemon/DaemonReport.js';
import { findKeyOwners } from '#daemon/FindKeyOwners.js';
import { listHotKeyRows } from '#daemon/ListHotKeyRows.js';
import { measurePropagation } from '#daemon/MeasurePropagation.js';
import { readDrainProgress } from '#daemon/ReadDrainProgress.js';
import { unwrapOrThrow } from '#daemon/UnwrapOrThrow.js';
import type { MetricsSnapshot } from '#metrics/MetricsSnapshot.js';

/**
 * Members of a cell that are queried for its held requests. Crash marks are sent to all members, but a datagram may be
 * lost, so more than one is queried.
 */
const MEMBERS_QUERIED_FOR_HELD = 2;

/** Implements the administration API of one daemon with the store, its own tasks and calls to other daemons. */
export class DaemonAdminBackend extends AdminBackend {
  public constructor(private readonly deps: AdminDependencies) {
    super();
  }

  public override readCatalogueInForce(): Promise<VersionedCatalogue | undefined> {
    return Promise.resolve(this.deps.view().catalogue);
  }

  public override async readCatalogue(): Promise<VersionedCatalogue | undefined> {
    const newest = await this.deps.history.readNewest();
    return newest && { version: newest.version, author: newest.author, catalogue: newest.catalogue };
  }

  public override async writeCatalogue(
    write: CatalogueWrite,
  ): Promise<Either<WriteConflict, VersionedCatalogue>> {
    const { expectedVersion, author, catalogue } = write;
    const newest = await this.deps.history.readNewest();
    const version = newest?.version ?? 0;
    if (version !== expectedVersion) return Left({ version, author: newest?.author ?? '' });
    if (newest !== undefined) await this.deps.history.archive(newest);
    const put = await this.deps.control().putCatalogue(catalogue, author, expectedVersion);
    return this.unwrapPut(unwrapOrThrow(put)).map((accepted) => ({ version: accepted, author, catalogue }));
  }

  public override listHistory(page: PageRequest): Promise<Page<HistoryItem>> {
    return this.deps.history.list(page);
  }

  public override readHistory(version: number): Promise<VersionedCatalogue | undefined> {
    const inForce = this.deps.view().catalogue;
    return inForce?.version === version ? Promise.resolve(inForce) : this.deps.history.read(version);
  }

  public override async readIntent(): Promise<VersionedIntent> {
    const object = unwrapOrThrow(await this.deps.store.get('intent'));
    if (object === undefined)
      return { version: 0, author: '', intent: { withdrawals: [], confirmedLost: [] } };
    const { author, intent } = object.value as { readonly author: string; readonly intent: Intent };
    return { version: object.version, author, intent };
  }

  public override async writeIntent(write: IntentWrite): Promise<Either<WriteConflict, VersionedIntent>> {
    const { expectedVersion, author, intent } = write;
    const put = await this.deps.control().putIntent(intent, author, expectedVersion);
    return this.unwrapPut(unwrapOrThrow(put)).map((version) => ({ version, author, intent }));
  }

  public override async readDrainProgress(kind: Withdrawal['kind'], name: string): Promise<DrainProgress> {
    return readDrainProgress(this.deps.caller, await this.deps.cells.readAll(), { kind, name });
  }

  public override async readPropagation(page: PageRequest): Promise<Propagation> {
    const { caller, cells, control, view, clock } = this.deps;
    const [members, { spread }] = await Promise.all([cells.listMembers(), control().readStatus()]);
    const { catalogue, intentVersion } = view();
    const newest = { catalogueVersion: catalogue?.version ?? 0, intentVersion };
    return measurePropagation(
      caller,
      members.filter(isPresent),
      spread.seen,
      newest,
      clock.monotonicMs(),
      page,
    );
  }

  public override async listMembers(filter: MemberFilter, page: PageRequest): Promise<Page<Member>> {
    const cells = await this.deps.cells.readAll();
    const matching = cells
      .filter(({ service }) => filter.service === '' || service === filter.service)
      .flatMap(({ members }) => members)
      .filter(({ region }) => filter.region === '' || region === filter.region)
      .filter(({ failureDomain: name }) => filter.failureDomain === '' || name === filter.failureDomain);
    return paginate(matching, ({ serverId }) => serverId, page);
  }

  public override async findOwners({ service, key, regions }: KeyOwnerQuery): Promise<readonly KeyOwner[]> {
    const count = this.deps.view().index?.services.get(service)?.cells;
    if (count === undefined) return [];
    const cell = await this.deps.cells.read(service, findCellIndex(key, count));
    return cell === undefined ? [] : findKeyOwners(cell, key, regions);
  }

  public override async listHotKeys(page: PageRequest): Promise<Page<HotKey>> {
    const cells = await this.deps.cells.readAll();
    const { items, next } = paginate(cells.flatMap(listHotKeyRows), formatHotKey, page);
    const owners = new Set(items.map(({ owner }) => owner));
    const members = cells.flatMap((cell) => cell.members).filter(({ serverId }) => owners.has(serverId));
    const reports = await this.deps.caller.callAll<DaemonReport>(members, 'adminStatus', {});
    const loads = new Map(
      reports.map(({ member, response }) => [member.serverId, response?.hotKeyLoads ?? {}]),
    );
    const itemsWithLoad = items.map((item) => ({
      ...item,
      requestsPerSecond: loads.get(item.owner)?.[`${item.placement}/key:${item.keyHash}`] ?? 0,
    }));
    return { items: itemsWithLoad, next };
  }

  public override async listMoves(page: PageRequest): Promise<Page<ShardMove>> {
    const members = (await this.deps.cells.listMembers()).filter(isPresent);
    const responses = await this.deps.caller.callAll<readonly ShardMove[]>(members, 'adminMoves', {});
    const moves = responses.flatMap(({ response }) => response ?? []);
    return paginate(moves, ({ service, shardId }) => `${service}/${shardId}`, page);
  }

  public override async listHeld(team: string, page: PageRequest): Promise<Page<HeldRequest>> {
    const held = (await this.readHeld()).filter((each) => team === '' || each.team === team);
    return paginate(held, ({ id }) => id, page);
  }

  public override async liftHeld(id: string, team: string): Promise<boolean> {
    const held = (await this.readHeld()).find((each) => each.id === id);
    if (held === undefined || (team !== '' && held.team !== team)) return false;
    const cells = await this.deps.cells.readAll();
    // Every member of the cell must lift the hold, and datagrams between them may be lost, so each one is called.
    const members = cells
      .filter(({ service }) => held.service === '' || service === held.service)
      .flatMap((cell) => cell.members)
      .filter(isPresent);
    const responses = await this.deps.caller.callAll<boolean>(members, 'adminLift', { id });
    return responses.some(({ response }) => response === true);
  }

  public override async readMetrics(scope: MetricsScope): Promise<MetricsSnapshot> {
    const { local, caller, cells, serverId } = this.deps;
    if (scope === 'daemon') return local.readMetrics();
    const all = await cells.readAll();
    const queried = scope === 'fleet' ? all : all.filter((cell) => findMember(cell, serverId) !== undefined);
    return collectMetrics(caller, queried.flatMap((cell) => cell.members).filter(isPresent));
  }

  public override readStatus(): Promise<DaemonStatus> {
    return this.deps.local.readStatus();
  }

  public override async explain(query: ExplainQuery, page: PageRequest): Promise<Page<ExplainedDaemon>> {
    const members = (await this.deps.cells.listMembers()).filter(isPresent);
    const { items, next } = paginate(members, ({ serverId }) => serverId, page);
    const responses = await this.deps.caller.callAll<ExplainedDaemon>(items, 'adminExplain', query);
    return {
      items: responses.map(({ member, response }) => response ?? describeUnreachable(member)),
      next,
    };
  }

  private async readHeld(): Promise<readonly HeldRequest[]> {
    const cells = await this.deps.cells.readAll();
    const members = cells.flatMap((cell) =>
      cell.members.filter(isPresent).slice(0, MEMBERS_QUERIED_FOR_HELD),
    );
    const responses = await this.deps.caller.callAll<readonly HeldRequest[]>(members, 'adminHeld', {});
    const held = responses.flatMap(({ response }) => response ?? []);
    return [...new Map(held.map((each) => [each.id, each])).values()];
  }

  private unwrapPut(outcome: PutOutcome): Either<WriteConflict, number> {
    if (outcome.type === 'accepted') return Right(outcome.version);
    if (outcome.type === 'conflict') return Left({ version: outcome.version, author: outcome.author });
    throw new RouterError(
      { code: 'changeUndecided', step: 'store', peer: '', ran: 'unknown', status: 503 },
      'the store did not respond; read the newest version to see whether the change was accepted',
    );
  }
}

function isPresent({ state }: Member): boolean {
  return state === 'active' || state === 'draining';
}

function formatHotKey({ service, placement, keyHash }: HotKey): string {
  return `${service}/${placement}/${keyHash}`;
}

function describeUnreachable({ serverId }: Member): ExplainedDaemon {
  const reason = 'the daemon does not respond';
  return { serverId, decision: 'refuse', code: 'peerSilent', reason, to: [] };
}
