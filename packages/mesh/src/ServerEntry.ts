/** What a daemon publishes of the backend server beside it. */
export interface ServerEntry {
  readonly serverId: string;
  /** `host:port` at which the daemon takes orders. */
  readonly address: string;
  readonly failureDomain: string;
  readonly region: string;
  readonly service: string;
  /** Id that the backend server gives itself; empty if there is none. */
  readonly instanceId: string;
  /** Identifies the run of the backend server; empty if there is none. */
  readonly incarnation: string;
  readonly state: 'absent' | 'ready' | 'draining' | 'gone';
  readonly slots: number;
  /** Term of the daemon's lease on keys; 0 without one. */
  readonly term: number;
  /** Run of the daemon. */
  readonly processId: string;
}
