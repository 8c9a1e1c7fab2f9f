/** Idempotency records of the shard, reduced to one request id. */
export interface ModelRecords {
  readonly knownSince: number;
  readonly hasRun: boolean;
}
