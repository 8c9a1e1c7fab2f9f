import { ManualClock } from '#core/ManualClock.js';
import { RandomSource } from '#core/RandomSource.js';
import { overlaps } from '#ranges/Overlaps.js';
import type { HeldRow } from '#mesh/HeldRow.js';
import { leaseRecordCodec } from '#mesh/LeaseRecordCodec.js';
import { rangeTableCodec } from '#mesh/RangeTableCodec.js';
import type { ServerEntry } from '#mesh/ServerEntry.js';
import type { MemoryStoreBackup } from '#standin/MemoryStoreBackup.js';
import { AuditedStore } from './AuditedStore.js';
import { createView } from './CreateView.js';
import type { FaultPlan } from './FaultPlan.js';
import { SimulatedDemand } from './SimulatedDemand.js';
import { SimulatedVm } from './SimulatedVm.js';
import { TableAudit } from './TableAudit.js';

const STEP_MS = 5;
const VIEW_INTERVAL_MS = 20;
const FAULT_INTERVAL_MS = 400;

/** Maximum duration of an evacuation, in milliseconds. */
const MAX_EVACUATION_MS = 16_000;

const DOMAINS = 3;

/** The store is copied at this interval, and restored from one of the last copies at random intervals, in milliseconds. */
const BACKUP_INTERVAL_MS = 500;
const MAX_BACKUPS = 20;
const RESTORE_INTERVAL_MS = { least: 1_000, spread: 28_000 };

/** The store is unavailable before a restore for at most this time, in milliseconds. */
const MAX_RESTORE_OUTAGE_MS = 3_000;

/** The slowdown of a VM is chosen between the minimum and the minimum plus the spread. */
const MIN_SLOWDOWN = 0.6;
const SLOWDOWN_SPREAD = 0.9;

/** Seed offset of the VM properties and the demand, so that the sequence of faults does not depend on them. */
const CONDITIONS_SEED_OFFSET = 1_000_003;

type CreatePlan = new (random: RandomSource) => FaultPlan;

/** Simulates a fleet of one service with owned keys under seeded faults. Records violations of exclusive ownership. */
export class OwnershipRun {
  /** Number of steps in which at least one key was held. */
  public heldSteps = 0;
  private readonly clock = new ManualClock();
  /** Number of restores of the store so far. */
  public get restores(): number {
    return this.store.restores;
  }

  private readonly audit: TableAudit = new TableAudit({
    readLease: (id) => leaseRecordCodec.decode(this.store.read('leases', id)?.value).toMaybe().extract(),
    listUsed: (id) => this.vms.find((vm) => vm.id === id)?.used ?? [],
  });
  private readonly store: AuditedStore;
  private readonly random: RandomSource;
  private readonly conditions: RandomSource;
  private readonly faults: FaultPlan;
  private readonly demand: SimulatedDemand;
  private readonly vms: readonly SimulatedVm[];
  private readonly knownRows = new Set<string>();
  private readonly pastHoldings: Holding[] = [];
  private readonly conflicts: string[] = [];
  private checkedHoldings: readonly Holding[] = [];
  private evacuated: ReadonlySet<string> = new Set();
  private backups: readonly MemoryStoreBackup[] = [];

  public constructor(seed: number, vms: number, Plan: CreatePlan) {
    this.random = new RandomSource(seed);
    this.conditions = new RandomSource(seed + CONDITIONS_SEED_OFFSET);
    this.faults = new Plan(this.random);
    this.store = new AuditedStore(this.audit, this.faults.hasRestores);
    this.demand = new SimulatedDemand(this.conditions);
    const { clock, store, random } = this;
    const world = { clock, store, random, listVms: () => this.vms };
    this.vms = Array.from({ length: vms }, (_, index) => {
      const clockRate = 1 + (this.conditions.fraction() - 0.5) * this.faults.clockSpread;
      const slowdown = MIN_SLOWDOWN + this.conditions.fraction() * SLOWDOWN_SPREAD;
      return new SimulatedVm(`vm${index}`, `domain${index % DOMAINS}`, world, clockRate, slowdown);
    });
  }

  public get violations(): readonly string[] {
    return [...this.audit.violations, ...this.conflicts];
  }

  /** Runs the fleet until the first violation, at most for `durationMs`. Faults begin after `calmMs`. */
  public async run(durationMs: number, calmMs: number): Promise<void> {
    for (let atMs = 0; atMs < durationMs && this.violations.length === 0; atMs += STEP_MS) {
      this.clock.advance(STEP_MS);
      await settle();
      if (atMs % VIEW_INTERVAL_MS === 0) this.postViews();
      if (atMs % BACKUP_INTERVAL_MS === 0)
        this.backups = [...this.backups, this.store.backUp()].slice(-MAX_BACKUPS);
      if (atMs === calmMs && this.faults.hasRestores) this.scheduleRestore();
      if (atMs > calmMs && atMs % FAULT_INTERVAL_MS === 0)
        this.faults.inject(this.vms, (failureDomain) => this.evacuate(failureDomain));
      this.check(atMs);
    }
  }

  /** Checks that a new row of a backend server has a higher epoch than all former rows of other servers for its keys. */
  private noteEpoch({ id, row }: Holding, atMs: number): void {
    const name = `${id} ${row.from}-${row.to}@${row.epoch}`;
    if (this.knownRows.has(name)) return;
    this.knownRows.add(name);
    const higher = this.pastHoldings.find(
      (past) => past.id !== id && overlaps(past.row, row) && past.row.epoch >= row.epoch,
    );
    if (higher !== undefined)
      this.conflicts.push(`${atMs} ms: ${name} after epoch ${higher.row.epoch} of ${higher.id}`);
    this.pastHoldings.push({ id, row });
  }

  private postViews(): void {
    const entries = this.vms.flatMap(({ id }): readonly ServerEntry[] => {
      const item = this.store.read('servers', id);
      return item === undefined ? [] : [item.value as ServerEntry];
    });
    const item = this.store.read('ranges', 's');
    const table = rangeTableCodec.decode(item?.value).toMaybe().extract();
    const tables =
      item === undefined || table === undefined ? [] : [['s', { table, revision: item.revision }] as const];
    const view = {
      ...createView(entries, {}, undefined, true),
      tables: new Map(tables),
      evacuated: this.evacuated,
    };
    for (const vm of this.vms)
      this.clock.schedule(this.random.integer(VIEW_INTERVAL_MS), () => vm.receiveView(view));
    if (this.faults.hasDemand && table !== undefined)
      this.demand.post(table, this.vms, this.clock.monotonicMs());
  }

  /** Restores the store again and again; in between, it is unavailable for some time. */
  private scheduleRestore(): void {
    const { least, spread } = RESTORE_INTERVAL_MS;
    this.clock.schedule(least + this.random.integer(spread), () => {
      const outageMs = this.random.integer(2) === 0 ? this.random.integer(MAX_RESTORE_OUTAGE_MS) : 0;
      if (outageMs > 0) for (const vm of this.vms) vm.setPath('cut', outageMs);
      this.clock.schedule(outageMs, () => {
        const backup = this.random.pick(this.backups);
        if (backup !== undefined) this.store.restore(backup);
        this.scheduleRestore();
      });
    });
  }

  private evacuate(failureDomain: string): void {
    this.evacuated = new Set([failureDomain]);
    this.clock.schedule(this.random.integer(MAX_EVACUATION_MS), () => {
      this.evacuated = new Set();
    });
  }

  private check(atMs: number): void {
    const used = this.vms.flatMap(({ id, used: rows }) => rows.map((row) => ({ id, row })));
    if (this.vms.some(({ held }) => held.length > 0)) this.heldSteps += 1;
    if (isSameHoldings(used, this.checkedHoldings)) return;
    this.checkedHoldings = used;
    for (const holding of used) this.noteEpoch(holding, atMs);
    const sorted = used.toSorted((left, right) => left.row.from - right.row.from);
    for (const [index, next] of sorted.entries()) {
      const before = sorted[index - 1];
      if (before === undefined || before.id === next.id || !overlaps(before.row, next.row)) continue;
      this.conflicts.push(
        `${atMs} ms: ${before.id} ${before.row.from}-${before.row.to}@${before.row.epoch} and ${next.id} ${next.row.from}-${next.row.to}@${next.row.epoch}`,
      );
    }
  }
}

interface Holding {
  readonly id: string;
  readonly row: HeldRow;
}

function isSameHoldings(left: readonly Holding[], right: readonly Holding[]): boolean {
  return left.length === right.length && left.every(({ row }, index) => row === right[index]?.row);
}

async function settle(): Promise<void> {
  for (let index = 0; index < 12; index += 1) await Promise.resolve();
}
