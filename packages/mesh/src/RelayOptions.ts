import type { Clock } from '#core/Clock.js';
import type { Logger } from '#core/Logger.js';

/** Collaborators and callbacks of `RelayTask`. */
export interface RelayOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  /** Store revision up to which this daemon has seen the changes of each watched collection. */
  readonly revisions: () => readonly number[];
  /** Receives the revisions that another daemon has seen. */
  readonly onHint: (revisions: readonly number[]) => void;
  /** Reports whether a daemon is reachable. An unreachable one is not tried until `untilMs` of monotonic time. */
  readonly onReachability: (address: string, reachable: boolean, untilMs: number) => void;
}
