import type { ManualClock } from '#core/ManualClock.js';
import type { RandomSource } from '#core/RandomSource.js';
import type { AuditedStore } from './AuditedStore.js';
import type { SimulatedVm } from './SimulatedVm.js';

/** Objects that all VMs of a simulated fleet share. */
export interface SimulatedWorld {
  readonly clock: ManualClock;
  readonly store: AuditedStore;
  readonly random: RandomSource;
  readonly listVms: () => readonly SimulatedVm[];
}
