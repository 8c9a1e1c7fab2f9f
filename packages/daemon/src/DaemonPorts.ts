/** Ports on which a daemon listens, by the kind of its peers. */
export interface DaemonPorts {
  readonly caller: number;
  readonly peer: number;
  readonly udp: number;
  readonly admin: number;
  readonly backend: number;
}
