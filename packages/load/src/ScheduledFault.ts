import type { FaultName } from '#load/FaultName.js';

/** A fault that starts and ends at given times after the start of the load. */
export interface ScheduledFault {
  readonly name: FaultName;
  readonly atMs: number;
  /** Time until a frozen process continues, a store recovers, or a lost process is replaced. */
  readonly durationMs: number;
  /** Rank of the affected instance, 0 for the owner of most shards; `loseDomain` affects its whole failure domain. */
  readonly instanceRank: number;
}
