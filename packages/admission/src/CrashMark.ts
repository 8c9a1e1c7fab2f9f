/**
 * Statement that a request was in flight when a backend server died, or that this mark is cleared. Marks travel between
 * the daemons of a cell; merging one again, or in another order, gives the same result, since cleared is final.
 */
export interface CrashMark {
  /** Hash of team, class, service, key, method, path and body. */
  readonly fingerprint: string;
  /** Names one death: server id and incarnation of the backend server that died. */
  readonly death: string;
  readonly cleared: boolean;
}
