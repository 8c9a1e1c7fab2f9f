import type { Clock } from '#core/Clock.js';
import type { Logger } from '#core/Logger.js';
import type { RandomSource } from '#core/RandomSource.js';
import type { ControlEvent } from '#control/ControlEvent.js';
import type { Transport } from '#rpc/Transport.js';
import type { Settings } from '#settings/Settings.js';
import type { ObjectStore } from '#store/ObjectStore.js';

/** Dependencies of a `ControlPlane`. The caller starts and stops the transport and closes the store. */
export interface ControlOptions {
  readonly settings: Settings;
  readonly transport: Transport;
  readonly store: ObjectStore;
  /**
   * Store client for operators' changes, so that a drain can be recorded even if joins, moves and takeovers have spent
   * the call budget of `store`. Defaults to `store`.
   */
  readonly operatorStore?: ObjectStore;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly random: RandomSource;
  /** Receives the events for the request path, in order; called on the event loop and must not block. */
  readonly listener: (event: ControlEvent) => void;
}
