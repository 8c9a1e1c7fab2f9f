/** A backend server and the daemon beside it, as a deployment lists them. */
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
  /** Whether the backend server checks the fencing token of an order. */
  readonly checksToken: boolean;
}
