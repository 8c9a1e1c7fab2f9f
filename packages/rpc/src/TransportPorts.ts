/** Ports on which a transport listens. */
export interface TransportPorts {
  readonly peerPort: number;
  readonly udpPort: number;
}
