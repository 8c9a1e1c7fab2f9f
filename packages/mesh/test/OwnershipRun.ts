import { ManualClock } from '#core/ManualClock.js';
import { RandomSource } from '#core/RandomSource.js';
import { overlaps } from '#ranges/Overlaps.js';
import { MemoryCollectionStore } from '#standin/MemoryCollectionStore.js';
import type { HeldRow } from '#mesh/HeldRow.js';
import { rangeTableCodec } from '#mesh/RangeTableCodec.js';
import type { ServerEntry } from '#mesh/ServerEntry.js';
import { createView } from './CreateView.js';
import { SimulatedVm } from './SimulatedVm.js';

const STEP_MS = 5;
const VIEW_EVERY_MS = 20;
const FAULT_EVERY_MS = 400;

/** Time that a process may get no processor time, in milliseconds. */
const LONGEST_STALL_MS = 3_000;

/** Time for which a daemon may be separated from the store: more than a lease lasts, in milliseconds. */
const LONGEST_CUT_MS = 16_000;

const DOMAINS = 3;

/** A fleet of one keyed service under seeded faults. Records each time at which two backend servers hold one key. */
export class OwnershipRun {
  public readonly violations: string[] = [];
  /** Number of steps at which some key was held. */
  public heldSteps = 0;
  private readonly clock = new ManualClock();
  private readonly store = new MemoryCollectionStore();
  private readonly random: RandomSource;
  private readonly vms: readonly SimulatedVm[];
  private readonly known = new Set<string>();
  private readonly past: Holding[] = [];
  private evacuated: ReadonlySet<string> = new Set();

  public constructor(seed: number, vms: number) {
    this.random = new RandomSource(seed);
    this.vms = Array.from(
      { length: vms },
      (_, index) =>
        new SimulatedVm(
          `vm${index}`,
          `domain${index % DOMAINS}`,
          this.clock,
          this.store,
          this.random,
          () => this.vms,
        ),
    );
  }

  /** Runs the fleet; faults begin once the keys are divided. */
  public async run(durationMs: number, calmMs: number): Promise<void> {
    for (let atMs = 0; atMs < durationMs; atMs += STEP_MS) {
      this.clock.advance(STEP_MS);
      await settle();
      if (atMs % VIEW_EVERY_MS === 0) this.showViews();
      if (atMs > calmMs && atMs % FAULT_EVERY_MS === 0) this.injectFault();
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
      this.violations.push(`${atMs} ms: ${name} after epoch ${higher.row.epoch} of ${higher.id}`);
    this.past.push({ id, row });
  }

  private showViews(): void {
    const entries = this.vms.flatMap(({ id }): readonly ServerEntry[] => {
      const item = this.store.read('servers', id);
      return item === undefined ? [] : [item.value as ServerEntry];
    });
    const item = this.store.read('ranges', 's');
    const tables =
      item === undefined
        ? []
        : [
            [
              's',
              { table: rangeTableCodec.decode(item.value).unsafeCoerce(), revision: item.revision },
            ] as const,
          ];
    const view = {
      ...createView(entries, {}, undefined, true),
      tables: new Map(tables),
      evacuated: this.evacuated,
    };
    for (const vm of this.vms) this.clock.schedule(this.random.integer(VIEW_EVERY_MS), () => vm.see(view));
  }

  private injectFault(): void {
    const vm = this.random.pick(this.vms);
    const other = this.random.pick(this.vms);
    if (vm === undefined || other === undefined) return;
    const kinds: readonly (() => void)[] = [
      () => vm.release({ to: other.id, workMsPerSecond: 0, share: 0.5, speedup: 1 }),
      () => vm.release({ to: other.id, workMsPerSecond: 0, share: 0.1, speedup: 1 }),
      () => vm.stall(this.random.integer(LONGEST_STALL_MS)),
      () => vm.cut(this.random.integer(LONGEST_CUT_MS)),
      () => vm.delayWrites(2_000),
      () => vm.restartDaemon(300 + this.random.integer(1_500)),
      () => vm.restartServer(500 + this.random.integer(3_000)),
      () => vm.drainServer(2_500, 500 + this.random.integer(3_000)),
      () => vm.stopDaemon(300 + this.random.integer(1_500)),
      () => this.evacuate(vm.failureDomain),
    ];
    this.random.pick(kinds)?.();
  }

  private evacuate(failureDomain: string): void {
    this.evacuated = new Set([failureDomain]);
    this.clock.schedule(this.random.integer(LONGEST_CUT_MS), () => {
      this.evacuated = new Set();
    });
  }

  private check(atMs: number): void {
    const used = this.vms.flatMap(({ id, used: rows }) => rows.map((row) => ({ id, row })));
    if (this.vms.some(({ held }) => held.length > 0)) this.heldSteps += 1;
    for (const holding of used) this.noteEpoch(holding, atMs);
    const sorted = used.toSorted((left, right) => left.row.from - right.row.from);
    for (const [index, next] of sorted.entries()) {
      const before = sorted[index - 1];
      if (before === undefined || before.id === next.id || !overlaps(before.row, next.row)) continue;
      this.violations.push(
        `${atMs} ms: ${before.id} ${before.row.from}-${before.row.to}@${before.row.epoch} and ${next.id} ${next.row.from}-${next.row.to}@${next.row.epoch}`,
      );
    }
  }
}

interface Holding {
  readonly id: string;
  readonly row: HeldRow;
}

async function settle(): Promise<void> {
  for (let index = 0; index < 12; index += 1) await Promise.resolve();
}
