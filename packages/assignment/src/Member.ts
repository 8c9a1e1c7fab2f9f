import type { MemberState } from '#assignment/MemberState.js';

/** A daemon and the backend server beside it, as recorded in a cell. */
export interface Member {
  readonly serverId: string;
  /** Number of the member's current grant; rises with each restart, re-grant or change of witnesses. */
  readonly epoch: number;
  /** Random id of the daemon process. */
  readonly incarnation: string;
  readonly state: MemberState;
  readonly region: string;
  readonly failureDomain: string;
  readonly vm: string;
  /** Numeric IP address. */
  readonly host: string;
  /** HTTP port for callers. */
  readonly callerPort: number;
  /** HTTP port for other daemons. */
  readonly peerPort: number;
  /** UDP port for other daemons. */
  readonly udpPort: number;
  /** HTTP port of the administration API. */
  readonly adminPort: number;
  /** Server ids of the daemons that renew the lease of this member. */
  readonly witnesses: readonly string[];
  /** Whether the backend server checks the fencing token. */
  readonly checksToken: boolean;
  /** Requests that the backend server runs at once. */
  readonly slots: number;
}
