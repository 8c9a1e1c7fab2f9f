import type { LeaveRecord } from '#mesh/LeaveRecord.js';

/** Store entry in which a daemon publishes itself and the backend server beside it. */
export interface ServerEntry {
  readonly serverId: string;
  /** `host:port` at which the daemon accepts requests of other daemons. */
  readonly address: string;
  readonly failureDomain: string;
  readonly region: string;
  readonly service: string;
  /** Instance id that the backend server announces; empty if there is no server. */
  readonly instanceId: string;
  /** Identifies the run of the backend server; empty if there is no server. */
  readonly incarnation: string;
  readonly state: 'absent' | 'ready' | 'draining' | 'gone';
  readonly slots: number;
  /** Term of the daemon's lease on keys; 0 if it has none. */
  readonly term: number;
  /** Identifies the run of the daemon. */
  readonly processId: string;
  /** First era of the store that this run of the daemon knew; absent if 0. */
  readonly bornEra?: number | undefined;
  /**
   * Time at which the last grant of an unreachable backend server ends, so that its keys get another owner, in Unix
   * milliseconds by the clock of its VM. Absent if the server is in use.
   */
  readonly keysFreeMs?: number | undefined;
  /** Absent unless the backend server drains or has withdrawn. */
  readonly leave?: LeaveRecord | undefined;
}
