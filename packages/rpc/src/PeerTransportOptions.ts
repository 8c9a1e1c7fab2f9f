import type { Clock } from '#core/Clock.js';
import type { Logger } from '#core/Logger.js';

/** Options of a `PeerTransport`. */
export interface PeerTransportOptions {
  readonly serverId: string;
  readonly host: string;
  /** Ports; 0 lets the system choose. */
  readonly peerPort: number;
  readonly udpPort: number;
  readonly fleetKey: string;
  readonly clock: Clock;
  readonly logger: Logger;
}
