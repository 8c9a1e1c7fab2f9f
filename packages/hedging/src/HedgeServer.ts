/** A backend server to which a copy of a request can be sent. */
export interface HedgeServer {
  readonly serverId: string;
}
