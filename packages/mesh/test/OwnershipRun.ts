import { ManualClock } from '#core/ManualClock.js';
import { RandomSource } from '#core/RandomSource.js';
import { overlaps } from '#ranges/Overlaps.js';
import type { HeldRow } from '#mesh/HeldRow.js';
import { leaseRecordCodec } from '#mesh/LeaseRecordCodec.js';
import { rangeTableCodec } from '#mesh/RangeTableCodec.js';
import type { ServerEntry } from '#mesh/ServerEntry.js';
import { AuditedStore } from './AuditedStore.js';
import { createView } from './CreateView.js';
import type { FaultPlan } from './FaultPlan.js';
import { SimulatedDemand } from './SimulatedDemand.js';
import { SimulatedVm } from './SimulatedVm.js';
import { TableAudit } from './TableAudit.js';

const STEP_MS = 5;
const VIEW_EVERY_MS = 20;
const FAULT_EVERY_MS = 400;

/** Time for which a failure domain may be out, in milliseconds. */
const LONGEST_EVACUATION_MS = 16_000;

const DOMAINS = 3;

/** Factors by which work may take longer on a VM than usual. */
const LEAST_SLOWDOWN = 0.6;
const SLOWDOWN_SPREAD = 0.9;

/** Added to a seed for conditions, so that the sequence of faults does not depend on them. */
const CONDITIONS_SEED = 1_000_003;

type CreatePlan = new (random: RandomSource) => FaultPlan;

/** A fleet of one keyed service under seeded faults. Records each time at which two backend servers hold one key. */
export class OwnershipRun {
  /** Number of steps at which some key was held. */
  public heldSteps = 0;
  private readonly clock = new ManualClock();
  private readonly audit: TableAudit = new TableAudit({
    readLease: (id) => leaseRecordCodec.decode(this.store.read('leases', id)?.value).toMaybe().extract(),
    listUsed: (id) => this.vms.find((vm) => vm.id === id)?.used ?? [],
  });
  private readonly store: AuditedStore = new AuditedStore(this.audit);
  private readonly random: RandomSource;
  private readonly conditions: RandomSource;
  private readonly faults: FaultPlan;
  private readonly demand: SimulatedDemand;
  private readonly vms: readonly SimulatedVm[];
  private readonly known = new Set<string>();
  private readonly past: Holding[] = [];
  private readonly overlapping: string[] = [];
  private checked: readonly Holding[] = [];
  private evacuated: ReadonlySet<string> = new Set();

  public constructor(seed: number, vms: number, Plan: CreatePlan) {
    this.random = new RandomSource(seed);
    this.conditions = new RandomSource(seed + CONDITIONS_SEED);
    this.faults = new Plan(this.random);
    this.demand = new SimulatedDemand(this.conditions);
    const { clock, store, random } = this;
    const world = { clock, store, random, listVms: () => this.vms };
    this.vms = Array.from({ length: vms }, (_, index) => {
      const clockRate = 1 + (this.conditions.fraction() - 0.5) * this.faults.clockSpread;
      const slowdown = LEAST_SLOWDOWN + this.conditions.fraction() * SLOWDOWN_SPREAD;
      return new SimulatedVm(`vm${index}`, `domain${index % DOMAINS}`, world, clockRate, slowdown);
    });
  }

  public get violations(): readonly string[] {
    return [...this.audit.violations, ...this.overlapping];
  }

  /** Runs the fleet until something is violated; faults begin once the keys are divided. */
  public async run(durationMs: number, calmMs: number): Promise<void> {
    for (let atMs = 0; atMs < durationMs && this.violations.length === 0; atMs += STEP_MS) {
      this.clock.advance(STEP_MS);
      await settle();
      if (atMs % VIEW_EVERY_MS === 0) this.showViews();
      if (atMs > calmMs && atMs % FAULT_EVERY_MS === 0)
        this.faults.inject(this.vms, (failureDomain) => this.evacuate(failureDomain));
      this.check(atMs);
    }
  }

  /** Checks that a row that is new at a backend server has a higher epoch than the others had for its keys. */
  private noteEpoch({ id, row }: Holding, atMs: number): void {
    const name = `${id} ${row.from}-${row.to}@${row.epoch}`;
    if (this.known.has(name)) return;
    this.known.add(name);
    const higher = this.past.find(
      (past) => past.id !== id && overlaps(past.row, row) && past.row.epoch >= row.epoch,
    );
    if (higher !== undefined)
      this.overlapping.push(`${atMs} ms: ${name} after epoch ${higher.row.epoch} of ${higher.id}`);
    this.past.push({ id, row });
  }

  private showViews(): void {
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
    for (const vm of this.vms) this.clock.schedule(this.random.integer(VIEW_EVERY_MS), () => vm.see(view));
    if (this.faults.hasDemand && table !== undefined)
      this.demand.post(table, this.vms, this.clock.monotonicMs());
  }

  private evacuate(failureDomain: string): void {
    this.evacuated = new Set([failureDomain]);
    this.clock.schedule(this.random.integer(LONGEST_EVACUATION_MS), () => {
      this.evacuated = new Set();
    });
  }

  private check(atMs: number): void {
    const used = this.vms.flatMap(({ id, used: rows }) => rows.map((row) => ({ id, row })));
    if (this.vms.some(({ held }) => held.length > 0)) this.heldSteps += 1;
    if (isSameUse(used, this.checked)) return;
    this.checked = used;
    for (const holding of used) this.noteEpoch(holding, atMs);
    const sorted = used.toSorted((left, right) => left.row.from - right.row.from);
    for (const [index, next] of sorted.entries()) {
      const before = sorted[index - 1];
      if (before === undefined || before.id === next.id || !overlaps(before.row, next.row)) continue;
      this.overlapping.push(
        `${atMs} ms: ${before.id} ${before.row.from}-${before.row.to}@${before.row.epoch} and ${next.id} ${next.row.from}-${next.row.to}@${next.row.epoch}`,
      );
    }
  }
}

interface Holding {
  readonly id: string;
  readonly row: HeldRow;
}

function isSameUse(left: readonly Holding[], right: readonly Holding[]): boolean {
  return left.length === right.length && left.every(({ row }, index) => row === right[index]?.row);
}

async function settle(): Promise<void> {
  for (let index = 0; index < 12; index += 1) await Promise.resolve();
}
