import type { Fleet } from '#load/Fleet.js';

/** One event of the measurement of unavailable time. */
export interface UnavailableVariant {
  readonly name: string;
  /** Longest allowed unavailable time of a key, in milliseconds. */
  readonly targetMs: number;
  /** Causes the event at a server; resolves at once. */
  readonly cause: (fleet: Fleet, serverId: string) => Promise<void>;
  /** Whether the event hits all servers of the failure domain. */
  readonly hitsDomain: boolean;
}
