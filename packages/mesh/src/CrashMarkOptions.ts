import type { CrashMark } from '#admission/CrashMark.js';
import type { Clock } from '#core/Clock.js';
import type { Logger } from '#core/Logger.js';
import type { CollectionStore } from '#store/CollectionStore.js';
import type { DaemonIdentity } from '#mesh/DaemonIdentity.js';
import type { PlannerOptions } from '#mesh/PlannerOptions.js';

/** Identity, collaborators and callbacks of `CrashMarkTask`. */
export interface CrashMarkOptions {
  readonly identity: DaemonIdentity;
  readonly store: CollectionStore;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Calls another daemon; the reply is undefined if the call failed. */
  readonly call: PlannerOptions['call'];
  /** Receives the marks that this and other daemons had set before this process started. */
  readonly onRestored: (marks: readonly CrashMark[]) => void;
}
