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
import type { AdminLinks } from '#daemon/AdminLinks.js';
import { collectMetrics } from '#daemon/CollectMetrics.js';
import { paginate } from '#daemon/Paginate.js';
import type { DaemonReport } from '#daemon/DaemonReport.js';
import { findKeyOwners } from '#daemon/FindKeyOwners.js';
import { listHotKeyRows } from '#daemon/ListHotKeyRows.js';
import { measurePropagation } from '#daemon/MeasurePropagation.js';
import { readDrain } from '#daemon/ReadDrain.js';
import { unwrapOrThrow } from '#daemon/UnwrapOrThrow.js';
import type { MetricsSnapshot } from '#metrics/MetricsSnapshot.js';

/** Members of a cell that are asked for its held requests; marks go to all of them, but a datagram may be lost. */
const HOLDERS_ASKED = 2;

/** Answers the administration API of one daemon: from the store, from its own tasks, and from other daemons. */
export class DaemonAdminBackend extends AdminBackend {
  public constructor(private readonly links: AdminLinks) {
    super();
  }

  public override readCatalogueInForce(): Promise<VersionedCatalogue | undefined> {
    return Promise.resolve(this.links.view().catalogue);
  }

  public override async readCatalogue(): Promise<VersionedCatalogue | undefined> {
    const newest = await this.links.history.readNewest();
    return newest && { version: newest.version, author: newest.author, catalogue: newest.catalogue };
  }

  public override async writeCatalogue(
    write: CatalogueWrite,
  ): Promise<Either<WriteConflict, VersionedCatalogue>> {
    const { expectedVersion, author, catalogue } = write;
    const newest = await this.links.history.readNewest();
    const version = newest?.version ?? 0;
    if (version !== expectedVersion) return Left({ version, author: newest?.author ?? '' });
    if (newest !== undefined) await this.links.history.keep(newest);
    const put = await this.links.control().putCatalogue(catalogue, author, expectedVersion);
    return this.settle(unwrapOrThrow(put)).map((accepted) => ({ version: accepted, author, catalogue }));
  }

  public override listHistory(page: PageRequest): Promise<Page<HistoryItem>> {
    return this.links.history.list(page);
  }

  public override readHistory(version: number): Promise<VersionedCatalogue | undefined> {
    const inForce = this.links.view().catalogue;
    return inForce?.version === version ? Promise.resolve(inForce) : this.links.history.read(version);
  }

  public override async readIntent(): Promise<VersionedIntent> {
    const object = unwrapOrThrow(await this.links.store.get('intent'));
    if (object === undefined)
      return { version: 0, author: '', intent: { withdrawals: [], confirmedLost: [] } };
    const { author, intent } = object.value as { readonly author: string; readonly intent: Intent };
    return { version: object.version, author, intent };
  }

  public override async writeIntent(write: IntentWrite): Promise<Either<WriteConflict, VersionedIntent>> {
    const { expectedVersion, author, intent } = write;
    const put = await this.links.control().putIntent(intent, author, expectedVersion);
    return this.settle(unwrapOrThrow(put)).map((version) => ({ version, author, intent }));
  }

  public override async readDrainProgress(kind: Withdrawal['kind'], name: string): Promise<DrainProgress> {
    return readDrain(this.links.caller, await this.links.cells.readAll(), { kind, name });
  }

  public override async readPropagation(page: PageRequest): Promise<Propagation> {
    const { caller, cells, control, view, clock } = this.links;
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
    const cells = await this.links.cells.readAll();
    const matching = cells
      .filter(({ service }) => filter.service === '' || service === filter.service)
      .flatMap(({ members }) => members)
      .filter(({ region }) => filter.region === '' || region === filter.region)
      .filter(({ failureDomain: name }) => filter.failureDomain === '' || name === filter.failureDomain);
    return paginate(matching, ({ serverId }) => serverId, page);
  }

  public override async findOwners({ service, key, regions }: KeyOwnerQuery): Promise<readonly KeyOwner[]> {
    const count = this.links.view().index?.services.get(service)?.cells;
    if (count === undefined) return [];
    const cell = await this.links.cells.read(service, findCellIndex(key, count));
    return cell === undefined ? [] : findKeyOwners(cell, key, regions);
  }

  public override async listHotKeys(page: PageRequest): Promise<Page<HotKey>> {
    const cells = await this.links.cells.readAll();
    const { items, next } = paginate(cells.flatMap(listHotKeyRows), formatHotKey, page);
    const owners = new Set(items.map(({ owner }) => owner));
    const members = cells.flatMap((cell) => cell.members).filter(({ serverId }) => owners.has(serverId));
    const reports = await this.links.caller.askAll<DaemonReport>(members, 'adminStatus', {});
    const loads = new Map(reports.map(({ member, answer }) => [member.serverId, answer?.hotKeyLoads ?? {}]));
    const rated = items.map((item) => ({
      ...item,
      requestsPerSecond: loads.get(item.owner)?.[`${item.placement}/key:${item.keyHash}`] ?? 0,
    }));
    return { items: rated, next };
  }

  public override async listMoves(page: PageRequest): Promise<Page<ShardMove>> {
    const members = (await this.links.cells.listMembers()).filter(isPresent);
    const answers = await this.links.caller.askAll<readonly ShardMove[]>(members, 'adminMoves', {});
    const moves = answers.flatMap(({ answer }) => answer ?? []);
    return paginate(moves, ({ service, shardId }) => `${service}/${shardId}`, page);
  }

  public override async listHeld(team: string, page: PageRequest): Promise<Page<HeldRequest>> {
    const held = (await this.readHeld()).filter((each) => team === '' || each.team === team);
    return paginate(held, ({ id }) => id, page);
  }

  public override async liftHeld(id: string, team: string): Promise<boolean> {
    const held = (await this.readHeld()).find((each) => each.id === id);
    if (held === undefined || (team !== '' && held.team !== team)) return false;
    const cells = await this.links.cells.readAll();
    // Every member that holds the request must let it run, so the datagrams between them are not relied on.
    const members = cells
      .filter(({ service }) => held.service === '' || service === held.service)
      .flatMap((cell) => cell.members)
      .filter(isPresent);
    const answers = await this.links.caller.askAll<boolean>(members, 'adminLift', { id });
    return answers.some(({ answer }) => answer === true);
  }

  public override async readMetrics(scope: MetricsScope): Promise<MetricsSnapshot> {
    const { local, caller, cells, serverId } = this.links;
    if (scope === 'daemon') return local.readMetrics();
    const all = await cells.readAll();
    const asked = scope === 'fleet' ? all : all.filter((cell) => findMember(cell, serverId) !== undefined);
    return collectMetrics(caller, asked.flatMap((cell) => cell.members).filter(isPresent));
  }

  public override readStatus(): Promise<DaemonStatus> {
    return this.links.local.readStatus();
  }

  public override async explain(question: ExplainQuery, page: PageRequest): Promise<Page<ExplainedDaemon>> {
    const members = (await this.links.cells.listMembers()).filter(isPresent);
    const { items, next } = paginate(members, ({ serverId }) => serverId, page);
    const answers = await this.links.caller.askAll<ExplainedDaemon>(items, 'adminExplain', question);
    return { items: answers.map(({ member, answer }) => answer ?? describeSilent(member)), next };
  }

  private async readHeld(): Promise<readonly HeldRequest[]> {
    const cells = await this.links.cells.readAll();
    const members = cells.flatMap((cell) => cell.members.filter(isPresent).slice(0, HOLDERS_ASKED));
    const answers = await this.links.caller.askAll<readonly HeldRequest[]>(members, 'adminHeld', {});
    const held = answers.flatMap(({ answer }) => answer ?? []);
    return [...new Map(held.map((each) => [each.id, each])).values()];
  }

  private settle(outcome: PutOutcome): Either<WriteConflict, number> {
    if (outcome.type === 'accepted') return Right(outcome.version);
    if (outcome.type === 'conflict') return Left({ version: outcome.version, author: outcome.author });
    throw new RouterError(
      { code: 'changeUndecided', step: 'store', peer: '', ran: 'unknown', status: 503 },
      'the store did not answer; read the newest version to learn whether the change was accepted',
    );
  }
}

function isPresent({ state }: Member): boolean {
  return state === 'active' || state === 'draining';
}

function formatHotKey({ service, placement, keyHash }: HotKey): string {
  return `${service}/${placement}/${keyHash}`;
}

function describeSilent({ serverId }: Member): ExplainedDaemon {
  const reason = 'the daemon does not answer';
  return { serverId, decision: 'refuse', code: 'peerSilent', reason, to: [] };
}
