/** Address of another daemon. `serverId` is empty if only an address from the settings is known. */
export interface PeerAddress {
  readonly serverId: string;
  /** Numeric IP address. */
  readonly host: string;
  /** HTTP port for other daemons. */
  readonly peerPort: number;
  /** UDP port for other daemons; 0 if unknown. */
  readonly udpPort: number;
}
