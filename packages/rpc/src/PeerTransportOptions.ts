import type { Clock } from '#core/Clock.js';
import type { Logger } from '#core/Logger.js';

/** Identity, ports and key of a `PeerTransport`. */
export interface PeerTransportOptions {
  readonly serverId: string;
  readonly host: string;
  /** HTTP port; 0 lets the system choose, as for `udpPort`. */
  readonly peerPort: number;
  readonly udpPort: number;
  /** Secret that all daemons share, with which messages are signed. */
  readonly fleetKey: string;
  readonly clock: Clock;
  readonly logger: Logger;
}
