import type { LeaseConfig } from '#lease/LeaseConfig.js';
import type { GuardName } from '#model/GuardName.js';
import type { ModelBudget } from '#model/ModelBudget.js';

/** One configuration of the check. Durations are in abstract steps. */
export interface ModelConfig {
  readonly name: string;
  readonly lease: LeaseConfig;
  /** Witness sets that server 0 may register with; the first one is the initial set. */
  readonly sets: readonly (readonly number[])[];
  /** Epoch of server 0 at the start; witnesses outside the initial set remember the epoch before it. */
  readonly firstEpoch: number;
  readonly budget: ModelBudget;
  readonly guardOff: GuardName | undefined;
}
