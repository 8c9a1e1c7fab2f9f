/** Head of a response from a backend server. */
export interface ResponseHead {
  readonly status: number;
  /** End-to-end headers. */
  readonly headers: Readonly<Record<string, string>>;
  /** Server id of the daemon whose backend server responded. */
  readonly serverId: string;
  /** Caller address of that daemon, `host:port`. */
  readonly owner: string;
  /** Admission epoch of the shard, `{token}-{window}`; empty for requests without a key. */
  readonly epoch: string;
}
