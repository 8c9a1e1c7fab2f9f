/** Load of a backend server with keys, as its daemon tells others. */
export interface BalanceFacts {
  readonly serverId: string;
  /** Work on its keys, in milliseconds a second. */
  readonly workMsPerSecond: number;
  readonly slots: number;
  /** Expected wait of an order that arrives now, in milliseconds. */
  readonly waitMs: number;
  readonly accepts: boolean;
}
