/** Record of one request that a stand-in backend server ran. */
export interface RunRecord {
  /** Unique for each run: the daemon's `amr-order-id` header, the incarnation of the server and a counter. */
  readonly orderId: string;
  /** Value of the query parameter `rid`. */
  readonly requestId: string;
  readonly serverId: string;
  readonly service: string;
  readonly team: string;
  readonly class: string;
  readonly key: string;
  readonly id: string;
  readonly token: number;
  /** Start and end in Unix milliseconds; `endMs` is 0 while the request runs. */
  readonly startMs: number;
  readonly endMs: number;
}
