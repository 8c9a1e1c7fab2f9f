import type { Clock } from '#core/Clock.js';
import type { Logger } from '#core/Logger.js';
import type { RandomSource } from '#core/RandomSource.js';
import type { LeaseConfig } from '#lease/LeaseConfig.js';
import type { Transport } from '#rpc/Transport.js';
import type { Settings } from '#settings/Settings.js';
import type { ObjectStore } from '#store/ObjectStore.js';

/** Dependencies that the control tasks of one daemon share; they hold no state of a task. */
export interface ControlContext {
  readonly settings: Settings;
  readonly leaseConfig: LeaseConfig;
  readonly transport: Transport;
  readonly store: ObjectStore;
  /** Store client for operators' changes; defaults to `store`. */
  readonly operatorStore?: ObjectStore;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly random: RandomSource;
}
