/** Load of a backend server with keys, as its daemon tells others. */
export interface OwnerLoadReport {
  readonly serverId: string;
  /** Work that callers request for its keys, in milliseconds per second. */
  readonly workMsPerSecond: number;
  readonly slots: number;
  /** Expected wait of a request that arrives now, in milliseconds. */
  readonly waitMs: number;
  /** Factor by which work takes longer than usual on its VM when nothing else loads it. */
  readonly baseSlowdown: number;
  /** Whether it can take more keys now. */
  readonly accepts: boolean;
}
