/** What a witness remembers about one server. Times are of the witness's monotonic clock. */
export interface WitnessRecord {
  /** Epoch granted last; 0 if none. */
  readonly epoch: number;
  /** Time of the newest grant of `epoch`. */
  readonly grantedAtMs: number;
  /** Epoch granted before `epoch`; 0 if none. */
  readonly previousEpoch: number;
  readonly previousGrantedAtMs: number;
  /** No epoch up to this one is renewed; 0 without a promise. */
  readonly promisedEpoch: number;
  /** Time at which the last grant of an epoch up to `promisedEpoch` has expired. */
  readonly promiseExpiryMs: number;
  /** Epoch for which the cell lists this witness, so that it monitors the server; 0 if none. */
  readonly watchedEpoch: number;
  readonly watchedSinceMs: number;
  /** Time of the newest suspicion. */
  readonly suspectedAtMs: number;
}
