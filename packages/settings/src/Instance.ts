/** A backend server of a deployment, with the daemon that runs on the same VM. */
export interface Instance {
  readonly serverId: string;
  /** Service that the backend server offers. */
  readonly service: string;
  readonly region: string;
  readonly failureDomain: string;
  readonly vm: string;
  /** Requests that the backend server runs at once. */
  readonly slots: number;
  /** Connections that the backend server accepts. */
  readonly connections: number;
  /** Whether the backend server checks the fencing token of a request. */
  readonly checksToken: boolean;
}
