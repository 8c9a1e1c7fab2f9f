import { Left, Right, type Either } from 'purify-ts';
import { AdminBackend } from '#admin/AdminBackend.js';
import type { CatalogueWrite } from '#admin/CatalogueWrite.js';
import type { DaemonStatus } from '#admin/DaemonStatus.js';
import type { DrainProgress } from '#admin/DrainProgress.js';
import type { ExplainedDaemon } from '#admin/ExplainedDaemon.js';
import type { ExplainQuery } from '#admin/ExplainQuery.js';
import { hashToken } from '#admin/HashToken.js';
import type { HeldRequest } from '#admin/HeldRequest.js';
import type { HistoryItem } from '#admin/HistoryItem.js';
import type { HotKey } from '#admin/HotKey.js';
import type { IntentWrite } from '#admin/IntentWrite.js';
import type { KeyOwner } from '#admin/KeyOwner.js';
import type { KeyOwnerQuery } from '#admin/KeyOwnerQuery.js';
import type { MemberFilter } from '#admin/MemberFilter.js';
import type { Page } from '#admin/Page.js';
import type { PageRequest } from '#admin/PageRequest.js';
import type { Propagation } from '#admin/Propagation.js';
import type { ShardMove } from '#admin/ShardMove.js';
import type { VersionedIntent } from '#admin/VersionedIntent.js';
import type { WriteConflict } from '#admin/WriteConflict.js';
import type { Member } from '#assignment/Member.js';
import type { Catalogue } from '#catalogue/Catalogue.js';
import type { VersionedCatalogue } from '#catalogue/VersionedCatalogue.js';
import { RouterError } from '#core/RouterError.js';
import { MetricsRecorder } from '#metrics/MetricsRecorder.js';
import type { MetricsSnapshot } from '#metrics/MetricsSnapshot.js';

/** In-memory backend. Its first catalogue has the owners `operators`, `alpha` and `beta`. */
export class FakeAdminBackend extends AdminBackend {
  public catalogues: readonly VersionedCatalogue[] = [
    { version: 7, author: 'operators', catalogue: FakeAdminBackend.makeCatalogue(20) },
  ];
  public intent: VersionedIntent = {
    version: 3,
    author: 'operators',
    intent: { withdrawals: [], confirmedLost: [] },
  };
  public held: readonly HeldRequest[] = ['alpha', 'beta'].map((team) => ({
    id: `held-${team}`,
    team,
    service: 'badges',
    class: 'badgeCheck',
    servers: ['badges-1', 'badges-2'],
    sinceMs: 1000,
  }));
  /** Shards that are still in use; decreases by one with each call of `readDrainProgress`. */
  public shardsLeft = 2;
  public storeDown = false;
  /** Runs between the read and the write of a change, to simulate a concurrent change. */
  public beforeWrite: () => void = () => undefined;

  public static makeCatalogue(burst: number): Catalogue {
    const limits = {
      ratePerSecond: 100,
      burst,
      concurrency: 10,
      share: 1,
      priority: 5,
      defaultDeadlineMs: 500,
      maxDeadlineMs: 1000,
      maxBodyBytes: 4096,
      interRegionBytesPerSecond: 0,
    };
    const owners = ['operators', 'alpha', 'beta'].map((name) => ({
      name,
      tokenHashes: [hashToken(`token-${name}`)],
      operator: name === 'operators',
    }));
    const entries = ['alpha', 'beta'].map((owner) => ({
      owner,
      service: 'badges',
      class: 'badgeCheck',
      repeatable: true,
      evidence: 'sent' as const,
      homeRegions: [],
      limits,
    }));
    const services = [{ name: 'badges', keyed: true, cells: 1, orderGraceMs: 0 }];
    return { regions: ['nairobi', 'kisumu'], services, owners, entries };
  }

  public override readCatalogueInForce(): Promise<VersionedCatalogue | undefined> {
    return Promise.resolve(this.catalogues.at(-1));
  }

  public override readCatalogue(): Promise<VersionedCatalogue | undefined> {
    return this.reach(this.catalogues.at(-1));
  }

  public override writeCatalogue(write: CatalogueWrite): Promise<Either<WriteConflict, VersionedCatalogue>> {
    this.beforeWrite();
    const newest = this.catalogues.at(-1);
    if (newest !== undefined && newest.version !== write.expectedVersion) return this.reach(Left(newest));
    const { author, catalogue } = write;
    const written = { version: write.expectedVersion + 1, author, catalogue };
    this.catalogues = [...this.catalogues, written];
    return this.reach(Right(written));
  }

  public override listHistory(page: PageRequest): Promise<Page<HistoryItem>> {
    const items = this.catalogues.map(({ version, author }) => ({ version, author, timeMs: version }));
    return this.reach(slicePage(items.reverse(), page));
  }

  public override readHistory(version: number): Promise<VersionedCatalogue | undefined> {
    return this.reach(this.catalogues.find((each) => each.version === version));
  }

  public override readIntent(): Promise<VersionedIntent> {
    return this.reach(this.intent);
  }

  public override writeIntent(write: IntentWrite): Promise<Either<WriteConflict, VersionedIntent>> {
    this.beforeWrite();
    if (this.intent.version !== write.expectedVersion) return this.reach(Left(this.intent));
    this.intent = { version: write.expectedVersion + 1, author: write.author, intent: write.intent };
    return this.reach(Right(this.intent));
  }

  public override readDrainProgress(): Promise<DrainProgress> {
    const { shardsLeft } = this;
    this.shardsLeft = Math.max(0, shardsLeft - 1);
    return this.reach({ members: 3, shardsLeft, requestsInFlight: shardsLeft, done: shardsLeft === 0 });
  }

  public override readPropagation(page: PageRequest): Promise<Propagation> {
    const row = { region: 'nairobi', catalogueVersion: 7, intentVersion: 3, ageMs: 40 };
    const rows = ['badges-1', 'badges-2'].map((serverId) => ({ serverId, ...row }));
    const totals = { catalogueVersion: 7, intentVersion: 3, daemons: 2, current: 2 };
    return this.reach({ ...totals, rows: slicePage(rows, page) });
  }

  public override listMembers(filter: MemberFilter, page: PageRequest): Promise<Page<Member>> {
    const members = ['nairobi', 'kisumu'].map((region, index) => ({
      serverId: `badges-${index + 1}`,
      epoch: 1,
      incarnation: 'i1',
      state: 'active' as const,
      region,
      failureDomain: `${region}-a`,
      vm: `vm-${index + 1}`,
      host: '127.0.0.1',
      callerPort: 1,
      peerPort: 2,
      udpPort: 3,
      adminPort: 4,
      witnesses: [],
      checksToken: true,
      slots: 6,
    }));
    return this.reach(
      slicePage(
        members.filter(({ region }) => filter.region === '' || region === filter.region),
        page,
      ),
    );
  }

  public override findOwners(query: KeyOwnerQuery): Promise<readonly KeyOwner[]> {
    const placement = query.regions.join('+') || '*';
    const owner = { serverId: 'badges-1', address: '127.0.0.1:1', token: 12, reason: 'hash slot' };
    return this.reach([{ placement, shardId: `${placement}/17`, ...owner }]);
  }

  public override listHotKeys(page: PageRequest): Promise<Page<HotKey>> {
    const hotKey = { service: 'badges', placement: '*', keyHash: '00ff', owner: 'badges-1', token: 9 };
    return this.reach(slicePage([{ ...hotKey, requestsPerSecond: 900 }], page));
  }

  public override listMoves(page: PageRequest): Promise<Page<ShardMove>> {
    const move = { service: 'badges', shardId: '*/4', from: 'badges-1', to: 'badges-2' };
    return this.reach(slicePage([{ ...move, reason: 'drain', sinceMs: 5 }], page));
  }

  public override listHeld(team: string, page: PageRequest): Promise<Page<HeldRequest>> {
    return this.reach(
      slicePage(
        this.held.filter((each) => team === '' || each.team === team),
        page,
      ),
    );
  }

  public override liftHeld(id: string, team: string): Promise<boolean> {
    const kept = this.held.filter((each) => each.id !== id || (team !== '' && each.team !== team));
    const lifted = kept.length < this.held.length;
    this.held = kept;
    return this.reach(lifted);
  }

  public override readMetrics(): Promise<MetricsSnapshot> {
    const recorder = new MetricsRecorder();
    for (const team of ['alpha', 'beta']) {
      recorder.recordPhase(team, 'badgeCheck', 'whole', 8000);
      recorder.countOutcome(team, 'badgeCheck', 'delivered');
    }
    recorder.count('storeCalls', 4);
    return recorder.snapshot();
  }

  public override readStatus(): Promise<DaemonStatus> {
    return Promise.resolve({
      serverId: 'badges-1',
      service: 'badges',
      region: 'nairobi',
      failureDomain: 'nairobi-a',
      vm: 'vm-1',
      epoch: 4,
      leaseLeftMs: 1200,
      ownedShards: 64,
      catalogueVersion: 7,
      intentVersion: 3,
      draining: false,
      backend: { state: 'warm', slots: 6, slotLimit: 6, inFlight: 2 },
      store: { reachable: !this.storeDown, lastSuccessMs: 20, callsPerSecond: 0.5, failures: 0 },
    });
  }

  public override explain(query: ExplainQuery, page: PageRequest): Promise<Page<ExplainedDaemon>> {
    const serve = { serverId: 'badges-1', decision: 'serve' as const, code: '', reason: 'owner', to: [] };
    const reason = `owner of "${query.key}" is badges-1`;
    const forward = {
      serverId: 'badges-2',
      decision: 'forward' as const,
      code: '',
      reason,
      to: ['badges-1'],
    };
    return this.reach(slicePage([serve, forward], page));
  }

  private reach<T>(value: T): Promise<T> {
    if (!this.storeDown) return Promise.resolve(value);
    const fields = { code: 'storeUnreachable', step: 'store', peer: '127.0.0.1:7000' } as const;
    return Promise.reject(
      new RouterError({ ...fields, ran: 'not run', status: 503 }, 'the store cannot be reached'),
    );
  }
}

function slicePage<T>(items: readonly T[], { after, limit }: PageRequest): Page<T> {
  const start = Number(after);
  const end = start + limit;
  return { items: items.slice(start, end), next: end < items.length ? String(end) : '' };
}
