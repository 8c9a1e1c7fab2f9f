import type { RandomSource } from '#core/RandomSource.js';
import type { SimulatedVm } from './SimulatedVm.js';

/** Faults to inject into a simulated fleet, and the conditions under which it runs. */
export abstract class FaultPlan {
  /** Fraction by which the rates of two daemons' clocks may differ. */
  public abstract readonly clockSpread: number;
  /** Whether callers send keyed requests, so that keys move by load. */
  public abstract readonly hasDemand: boolean;
  /** Whether the store is restored from backups. */
  public readonly hasRestores: boolean = false;
  protected readonly random: RandomSource;

  public constructor(random: RandomSource) {
    this.random = random;
  }

  /** Injects one random fault. `evacuate` takes a failure domain out of service for some time. */
  public inject(vms: readonly SimulatedVm[], evacuate: (failureDomain: string) => void): void {
    const vm = this.random.pick(vms);
    const other = this.random.pick(vms);
    if (vm === undefined || other === undefined) return;
    this.random.pick(this.listFaults(vm, other, vms, evacuate))?.();
  }

  protected abstract listFaults(
    vm: SimulatedVm,
    other: SimulatedVm,
    vms: readonly SimulatedVm[],
    evacuate: (failureDomain: string) => void,
  ): readonly (() => void)[];
}
