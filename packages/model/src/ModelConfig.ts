import type { LeaseConfig } from '#lease/LeaseConfig.js';
import type { GuardName } from '#model/GuardName.js';
import type { ModelBudget } from '#model/ModelBudget.js';

/** A configuration that the model checker explores. Durations are in abstract steps. */
export interface ModelConfig {
  readonly name: string;
  readonly lease: LeaseConfig;
  /** Witness sets that server 0 may register with; the first one is in use at the start. */
  readonly witnessSets: readonly (readonly number[])[];
  /** Epoch of server 0 at the start; witnesses outside the first set remember the epoch before it. */
  readonly firstEpoch: number;
  readonly budget: ModelBudget;
  /** Guard that the model leaves out; undefined for the full protocol. */
  readonly disabledGuard: GuardName | undefined;
}
