/** Ports on which a daemon listens. */
export interface DaemonPorts {
  readonly caller: number;
  readonly peer: number;
  readonly udp: number;
  readonly admin: number;
  readonly backend: number;
}
