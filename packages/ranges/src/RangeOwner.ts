/** Owner of keys: one incarnation of a backend server under one term of its daemon's lease. */
export interface RangeOwner {
  /** Id of the VM whose daemon grants the keys. */
  readonly serverId: string;
  /** Lease term under which the keys may be granted. A revoked term never becomes valid again. */
  readonly term: number;
  /** Incarnation of the backend server, new with each restart; another one holds none of these keys. */
  readonly incarnation: string;
}
