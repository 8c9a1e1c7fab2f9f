/** Load of a backend server with keys, as its daemon tells others. */
export interface BalanceFacts {
  readonly serverId: string;
  /** Work asked for on its keys, in milliseconds a second. */
  readonly workMsPerSecond: number;
  readonly slots: number;
  /** Expected wait of an order that arrives now, in milliseconds. */
  readonly waitMs: number;
  /** Factor by which work takes longer on its VM than usual when nothing disturbs it. */
  readonly baseSlowdown: number;
  readonly accepts: boolean;
}
