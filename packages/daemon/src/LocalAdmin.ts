import type { DaemonStatus } from '#admin/DaemonStatus.js';
import type { ExplainedDaemon } from '#admin/ExplainedDaemon.js';
import type { ExplainQuery } from '#admin/ExplainQuery.js';
import type { HeldRequest } from '#admin/HeldRequest.js';
import type { ShardMove } from '#admin/ShardMove.js';
import { findCellIndex } from '#assignment/FindCellIndex.js';
import { formatCellKey } from '#assignment/FormatCellKey.js';
import { isWithdrawn } from '#assignment/IsWithdrawn.js';
import { PowerOfTwoChoices } from '#balance/PowerOfTwoChoices.js';
import type { ShardLoads } from '#control/ShardLoads.js';
import type { AdminMethods } from '#daemon/AdminMethods.js';
import type { DaemonReport } from '#daemon/DaemonReport.js';
import { explainRequest } from '#daemon/ExplainRequest.js';
import type { LocalAdminDependencies } from '#daemon/LocalAdminDependencies.js';
import type { MetricsPart } from '#daemon/MetricsPart.js';
import { updateGauges } from '#daemon/UpdateGauges.js';
import type { MetricsSnapshot } from '#metrics/MetricsSnapshot.js';
import type { MarkedRequest } from '#proxy/MarkedRequest.js';
import type { OwnerReport } from '#proxy/OwnerReport.js';
import type { RoutingView } from '#proxy/RoutingView.js';

/** A series has 4 histograms of at most 4 KB, so one part stays within the limit of 1 MB for an RPC message. */
const SERIES_PER_PART = 60;
/** Later parts are read from the same snapshot within this time. Encoding a snapshot takes tens of milliseconds. */
const MAX_SNAPSHOT_AGE_MS = 5_000;
const MOVE_REASONS = { drain: 'drain', balance: 'balance', home: 'return' } as const;

interface CachedSnapshot {
  readonly snapshot: MetricsSnapshot;
  readonly takenAtMs: number;
}

/** Reports the state of one daemon to its own administration API and to those of other daemons. */
export class LocalAdmin {
  /** Administration methods by name; other daemons call them by RPC. */
  public readonly methods: AdminMethods = new Map<string, (params: unknown) => Promise<unknown>>([
    ['adminStatus', () => this.report()],
    ['adminStats', (params) => this.readPart((params as { readonly from: number }).from)],
    ['adminMoves', () => this.listMoves()],
    ['adminHeld', () => this.listHeld()],
    ['adminLift', (params) => this.lift((params as { readonly id: string }).id)],
    ['adminExplain', (params) => this.explain(params as ExplainQuery)],
  ]);
  private loads: ShardLoads = {};
  private leaving = false;
  private cached: CachedSnapshot | undefined;

  public constructor(private readonly deps: LocalAdminDependencies) {}

  /** Records the load of the shards that this daemon owns, in requests per second by shard id. */
  public noteLoads(loads: ShardLoads): void {
    this.loads = loads;
  }

  /** Records whether this daemon or its backend server is leaving. */
  public noteLeaving(leaving: boolean): void {
    this.leaving = leaving;
  }

  /** Reads the state of this daemon. */
  public async readStatus(): Promise<DaemonStatus> {
    return (await this.report()).status;
  }

  /** Updates the gauges and takes a snapshot of the metrics. */
  public async readMetrics(): Promise<MetricsSnapshot> {
    const { metrics } = this.deps;
    const [{ status }, { lease }, owner] = await Promise.all([
      this.report(),
      this.deps.control().readStatus(),
      this.readOwnerReport(),
    ]);
    updateGauges(metrics, status, lease, owner, this.deps.transportStats(), this.deps.meter);
    return metrics.snapshot();
  }

  private async report(): Promise<DaemonReport> {
    const { settings, clock, view, meter, control } = this.deps;
    const { serverId, region, failureDomain, vm } = settings;
    const [{ lease, cell }, owner] = await Promise.all([control().readStatus(), this.readOwnerReport()]);
    const { catalogue, intentVersion } = view();
    const hotKeys = Object.entries(this.loads).filter(([shardId]) => shardId.includes('/key:'));
    const status: DaemonStatus = {
      serverId,
      service: owner.backend?.service ?? '',
      region,
      failureDomain,
      vm,
      epoch: lease.epoch,
      leaseLeftMs: Math.max(0, Math.round(lease.leaseEndMs - clock.monotonicMs())) || 0,
      ownedShards: cell.ownedShards,
      catalogueVersion: catalogue?.version ?? 0,
      intentVersion,
      draining: this.isDraining(),
      backend: {
        state: owner.backend === undefined ? 'absent' : owner.slowStart,
        slots: owner.backend?.slots ?? 0,
        slotLimit: owner.backend === undefined ? 0 : owner.limit,
        inFlight: owner.running,
      },
      store: meter.read(),
    };
    return {
      status,
      requestsInFlight: owner.running + owner.waiting,
      hotKeyLoads: Object.fromEntries(hotKeys),
    };
  }

  private isDraining(): boolean {
    const { settings, view } = this.deps;
    const { intent, cells } = view();
    const members = [...cells.values()].flatMap((cell) => cell.members);
    const ownMember = members.find(({ serverId }) => serverId === settings.serverId);
    if (ownMember === undefined) return this.leaving;
    return this.leaving || ownMember.state === 'draining' || isWithdrawn(ownMember, intent.withdrawals);
  }

  private async readPart(from: number): Promise<MetricsPart> {
    const nowMs = this.deps.clock.monotonicMs();
    const isUsable =
      from > 0 && this.cached !== undefined && nowMs - this.cached.takenAtMs < MAX_SNAPSHOT_AGE_MS;
    if (!isUsable) this.cached = { snapshot: await this.readMetrics(), takenAtMs: nowMs };
    const snapshot = this.cached?.snapshot ?? { series: [], counters: {}, gauges: {} };
    const end = from + SERIES_PER_PART;
    const next = end < snapshot.series.length ? end : 0;
    return { ...snapshot, series: snapshot.series.slice(from, end), next };
  }

  private async listMoves(): Promise<readonly ShardMove[]> {
    const { control, clock, settings, view } = this.deps;
    const ownCell = [...view().cells.values()].find(({ members }) =>
      members.some(({ serverId }) => serverId === settings.serverId),
    );
    const wallOffsetMs = clock.wallMs() - clock.monotonicMs();
    return (await control().readMoves()).map(({ shardId, from, to, reason, atMs }) => ({
      service: ownCell?.service ?? '',
      shardId,
      from,
      to,
      reason: MOVE_REASONS[reason],
      sinceMs: Math.round(atMs + wallOffsetMs),
    }));
  }

  private async listHeld(): Promise<readonly HeldRequest[]> {
    const { clock, owner } = this.deps;
    const wallOffsetMs = clock.wallMs() - clock.monotonicMs();
    const rows = await owner.ask<readonly MarkedRequest[]>((reply) => ({ type: 'held', reply }));
    return rows
      .filter(({ state }) => state === 'held')
      .map(({ fingerprint, team, service, class: requestClass, deaths, sinceMs }) => ({
        id: fingerprint,
        team,
        service,
        class: requestClass,
        servers: [...new Set(deaths.map((death) => death.slice(0, death.lastIndexOf('/'))))],
        sinceMs: Math.round(sinceMs + wallOffsetMs),
      }));
  }

  private lift(id: string): Promise<boolean> {
    return this.deps.owner.ask((reply) => ({ type: 'lift', fingerprint: id, reply }));
  }

  private async explain(query: ExplainQuery): Promise<ExplainedDaemon> {
    const { settings, random, clock } = this.deps;
    const routing = await this.buildRouting(query);
    const { backend, leaseEndMs } = await this.readOwnerReport();
    const own = { hasBackend: backend !== undefined, hasLease: clock.monotonicMs() < leaseEndMs };
    return explainRequest(routing, settings, query, own, new PowerOfTwoChoices(), random);
  }

  /** Builds the routing view for an explanation. Fetches the cell if it is missing, as the request path would. */
  private async buildRouting({ service, key }: ExplainQuery): Promise<RoutingView> {
    const { index, cells, intent } = this.deps.view();
    const routing = { index, cells, withdrawn: intent.withdrawals };
    const count = index?.services.get(service)?.cells;
    if (count === undefined) return routing;
    const cellIndex = findCellIndex(key, count);
    const name = formatCellKey(service, cellIndex);
    if (cells.has(name)) return routing;
    const cell = await this.deps.cells.read(service, cellIndex);
    return cell === undefined ? routing : { ...routing, cells: new Map(cells).set(name, cell) };
  }

  private readOwnerReport(): Promise<OwnerReport> {
    return this.deps.owner.ask((reply) => ({ type: 'report', reply }));
  }
}
