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
import type { LocalLinks } from '#daemon/LocalLinks.js';
import type { MetricsPart } from '#daemon/MetricsPart.js';
import { updateGauges } from '#daemon/UpdateGauges.js';
import type { MetricsSnapshot } from '#metrics/MetricsSnapshot.js';
import type { MarkedRequest } from '#proxy/MarkedRequest.js';
import type { OwnerReport } from '#proxy/OwnerReport.js';
import type { RoutingView } from '#proxy/RoutingView.js';

/** Series in one part; 4 histograms each of at most 4 KB stay within the 1 MB of a message between daemons. */
const PART_SERIES = 60;
/** The parts of one snapshot are asked for within this time; encoding it takes tens of milliseconds. */
const SNAPSHOT_KEPT_MS = 5_000;
const REASONS = { drain: 'drain', balance: 'balance', home: 'return' } as const;

interface KeptSnapshot {
  readonly snapshot: MetricsSnapshot;
  readonly atMs: number;
}

/** Answers what one daemon knows about itself, for its own administration API and for that of other daemons. */
export class LocalAdmin {
  /** Methods by name; other daemons call the same ones. */
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
  private kept: KeptSnapshot | undefined;

  public constructor(private readonly links: LocalLinks) {}

  /** Notes the load of the own shards, in requests a second by shard id. */
  public noteLoads(loads: ShardLoads): void {
    this.loads = loads;
  }

  /** Notes whether this daemon leaves or its backend server does. */
  public noteLeaving(leaving: boolean): void {
    this.leaving = leaving;
  }

  /** Reads the state of this daemon. */
  public async readStatus(): Promise<DaemonStatus> {
    return (await this.report()).status;
  }

  /** Takes a snapshot of the measurements, with the current values of the gauges. */
  public async readMetrics(): Promise<MetricsSnapshot> {
    const { metrics } = this.links;
    const [{ status }, { lease }, owner] = await Promise.all([
      this.report(),
      this.links.control().readStatus(),
      this.askOwner(),
    ]);
    updateGauges(metrics, status, lease, owner, this.links.transportStats(), this.links.meter);
    return metrics.snapshot();
  }

  private async report(): Promise<DaemonReport> {
    const { settings, clock, view, meter, control } = this.links;
    const { serverId, region, failureDomain, vm } = settings;
    const [{ lease, cell }, owner] = await Promise.all([control().readStatus(), this.askOwner()]);
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
    const { settings, view } = this.links;
    const { intent, cells } = view();
    const members = [...cells.values()].flatMap((cell) => cell.members);
    const own = members.find(({ serverId }) => serverId === settings.serverId);
    if (own === undefined) return this.leaving;
    return this.leaving || own.state === 'draining' || isWithdrawn(own, intent.withdrawals);
  }

  private async readPart(from: number): Promise<MetricsPart> {
    const nowMs = this.links.clock.monotonicMs();
    const isUsable = from > 0 && this.kept !== undefined && nowMs - this.kept.atMs < SNAPSHOT_KEPT_MS;
    if (!isUsable) this.kept = { snapshot: await this.readMetrics(), atMs: nowMs };
    const snapshot = this.kept?.snapshot ?? { series: [], counters: {}, gauges: {} };
    const end = from + PART_SERIES;
    const next = end < snapshot.series.length ? end : 0;
    return { ...snapshot, series: snapshot.series.slice(from, end), next };
  }

  private async listMoves(): Promise<readonly ShardMove[]> {
    const { control, clock, settings, view } = this.links;
    const own = [...view().cells.values()].find(({ members }) =>
      members.some(({ serverId }) => serverId === settings.serverId),
    );
    const offsetMs = clock.wallMs() - clock.monotonicMs();
    return (await control().readMoves()).map(({ shardId, from, to, reason, atMs }) => ({
      service: own?.service ?? '',
      shardId,
      from,
      to,
      reason: REASONS[reason],
      sinceMs: Math.round(atMs + offsetMs),
    }));
  }

  private async listHeld(): Promise<readonly HeldRequest[]> {
    const { clock, owner } = this.links;
    const offsetMs = clock.wallMs() - clock.monotonicMs();
    const rows = await owner.ask<readonly MarkedRequest[]>((reply) => ({ type: 'held', reply }));
    return rows
      .filter(({ state }) => state === 'held')
      .map(({ fingerprint, team, service, class: requestClass, deaths, sinceMs }) => ({
        id: fingerprint,
        team,
        service,
        class: requestClass,
        servers: [...new Set(deaths.map((death) => death.slice(0, death.lastIndexOf('/'))))],
        sinceMs: Math.round(sinceMs + offsetMs),
      }));
  }

  private lift(id: string): Promise<boolean> {
    return this.links.owner.ask((reply) => ({ type: 'lift', fingerprint: id, reply }));
  }

  private async explain(question: ExplainQuery): Promise<ExplainedDaemon> {
    const { settings, random, clock } = this.links;
    const routing = await this.buildRouting(question);
    const { backend, leaseEndMs } = await this.askOwner();
    const own = { hasBackend: backend !== undefined, hasLease: clock.monotonicMs() < leaseEndMs };
    return explainRequest(routing, settings, question, own, new PowerOfTwoChoices(), random);
  }

  /** The request path fetches a cell that it lacks before it answers a repeat, so the cell is fetched here as well. */
  private async buildRouting({ service, key }: ExplainQuery): Promise<RoutingView> {
    const { index, cells, intent } = this.links.view();
    const routing = { index, cells, withdrawn: intent.withdrawals };
    const count = index?.services.get(service)?.cells;
    if (count === undefined) return routing;
    const cellIndex = findCellIndex(key, count);
    const name = formatCellKey(service, cellIndex);
    if (cells.has(name)) return routing;
    const cell = await this.links.cells.read(service, cellIndex);
    return cell === undefined ? routing : { ...routing, cells: new Map(cells).set(name, cell) };
  }

  private askOwner(): Promise<OwnerReport> {
    return this.links.owner.ask((reply) => ({ type: 'report', reply }));
  }
}
