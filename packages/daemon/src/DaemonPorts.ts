/** Ports on which a daemon listens. */
export interface DaemonPorts {
  readonly caller: number;
  readonly peer: number;
  readonly udp: number;
  readonly backend: number;
}
