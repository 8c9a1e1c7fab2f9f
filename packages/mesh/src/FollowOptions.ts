import type { Clock } from '#core/Clock.js';
import type { Logger } from '#core/Logger.js';
import type { RandomSource } from '#core/RandomSource.js';
import type { MetricsRecorder } from '#metrics/MetricsRecorder.js';
import type { CollectionPosition } from '#fanout/CollectionPosition.js';
import type { CollectionUpdate } from '#fanout/CollectionUpdate.js';
import type { DaemonIdentity } from '#mesh/DaemonIdentity.js';

/** Identity, collaborators and callbacks of `FollowTask`. */
export interface FollowOptions {
  readonly identity: DaemonIdentity;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: MetricsRecorder;
  readonly random: RandomSource;
  /** Calls another daemon. The result is undefined if the call failed. */
  readonly call: (
    address: string,
    method: string,
    params: unknown,
    isLongPoll: boolean,
    reply: (result: unknown) => void,
  ) => void;
  /** Reads the revisions up to which this daemon knows the collections. */
  readonly readPositions: (reply: (positions: readonly CollectionPosition[]) => void) => void;
  /** Passes on what a reader sent. The store is no longer watched from then on. */
  readonly onFollowed: (updates: readonly CollectionUpdate[]) => void;
  /** Makes a small call of the store over a new connection. */
  readonly probeStore: (reply: (answered: boolean) => void) => void;
  /** Reports that this daemon has to watch the store itself. */
  readonly onDirect: () => void;
}
