import type { Clock } from '#core/Clock.js';
import type { Logger } from '#core/Logger.js';
import type { CollectionStore } from '#store/CollectionStore.js';
import type { CheckIn } from '#mesh/CheckIn.js';
import type { DaemonIdentity } from '#mesh/DaemonIdentity.js';
import type { EndOfUse } from '#mesh/EndOfUse.js';
import type { Presence } from '#mesh/Presence.js';

/** Identity, collaborators and callbacks of `PresenceTask`. */
export interface PresenceOptions {
  readonly identity: DaemonIdentity;
  readonly processId: string;
  /** `host:port` at which this daemon accepts requests of other daemons. */
  readonly address: string;
  /** Interval between announcements of the backend server, in milliseconds. */
  readonly announceEveryMs: number;
  readonly store: CollectionStore;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly onPresence: (presence: Presence) => void;
  /** Whether the configuration contains a service. */
  readonly isConfigured: (service: string) => boolean;
  /** Requests a grant for a backend server that announced itself. */
  readonly onCheckIn: (checkIn: CheckIn) => void;
  /** Reports that a run of the backend server is not to be used any longer. */
  readonly onEnded: (incarnation: string, reason: EndOfUse) => void;
}
