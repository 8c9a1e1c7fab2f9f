/** Announcement that a backend server sends to its local daemon. */
export interface BackendFacts {
  readonly host: string;
  readonly port: number;
  readonly service: string;
  /** Number of requests that it runs at once. */
  readonly slots: number;
  /** Number of connections that it accepts. */
  readonly connections: number;
  /** Whether it checks the fencing token and refuses requests without a current grant. */
  readonly checksToken: boolean;
  /** Random id of its process, different after each restart. */
  readonly incarnation: string;
  /** Whether it is shutting down and wants no new requests. */
  readonly leaving: boolean;
  /** Requests in flight as it counts them; may be out of date. */
  readonly reportedLoad: number;
}
