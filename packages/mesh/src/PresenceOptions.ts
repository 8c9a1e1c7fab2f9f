import type { Clock } from '#core/Clock.js';
import type { Logger } from '#core/Logger.js';
import type { CollectionStore } from '#store/CollectionStore.js';
import type { CheckIn } from '#mesh/CheckIn.js';
import type { DaemonIdentity } from '#mesh/DaemonIdentity.js';
import type { Presence } from '#mesh/Presence.js';

/** What `PresenceTask` is created with. */
export interface PresenceOptions {
  readonly place: DaemonIdentity;
  readonly processId: string;
  /** `host:port` at which this daemon takes orders. */
  readonly address: string;
  /** Usual time between two announcements, in milliseconds. */
  readonly announceEveryMs: number;
  readonly store: CollectionStore;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly onPresence: (presence: Presence) => void;
  /** Whether the configuration names a service. */
  readonly isConfigured: (service: string) => boolean;
  /** Asks for the keys that an announcing backend server may hold. */
  readonly onCheckIn: (checkIn: CheckIn) => void;
  /** Asks for a connection to a silent backend server that refused one before. */
  readonly onDoubt: () => void;
  /** Told that a run of the backend server ended; `proven` if its process is known to be gone. */
  readonly onEnded: (incarnation: string, proven: boolean) => void;
}
