/** One run of a backend server under one term of its daemon's lease, as the owner of keys. */
export interface RangeOwner {
  /** The VM whose daemon grants the keys. */
  readonly serverId: string;
  /** Term of the daemon's lease under which the keys may be granted; a revoked term never becomes valid again. */
  readonly term: number;
  /** Identifies the run of the backend server; another run of it holds nothing. */
  readonly incarnation: string;
}
