/** One request that a stand-in backend server ran. */
export interface RunRecord {
  /** Unique for each run: the order id that the daemon sent, the incarnation of the server and a number. */
  readonly orderId: string;
  /** Value of `rid` in the query of the request. */
  readonly requestId: string;
  readonly serverId: string;
  readonly service: string;
  readonly team: string;
  readonly class: string;
  readonly key: string;
  readonly id: string;
  readonly token: number;
  /** Wall-clock times in milliseconds; `endMs` is 0 while it runs. */
  readonly startMs: number;
  readonly endMs: number;
}
