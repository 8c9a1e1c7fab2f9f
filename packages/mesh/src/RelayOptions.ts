import type { Clock } from '#core/Clock.js';
import type { Logger } from '#core/Logger.js';

/** What `RelayTask` is created with. */
export interface RelayOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  /** Revisions of the store up to which this daemon knows changes. */
  readonly revisions: () => readonly number[];
  /** Told the revisions that another daemon knows. */
  readonly onHint: (revisions: readonly number[]) => void;
  /** Told when a daemon can or cannot be reached; `untilMs` is the monotonic time until which it is not tried. */
  readonly onReach: (address: string, reachable: boolean, untilMs: number) => void;
}
