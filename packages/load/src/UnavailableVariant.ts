import type { Fleet } from '#load/Fleet.js';

/** An event whose unavailable time is measured. */
export interface UnavailableVariant {
  readonly name: string;
  /** Longest allowed unavailable time of a key, in milliseconds. */
  readonly targetMs: number;
  /** Triggers the event at a server, without waiting for the recovery. */
  readonly trigger: (fleet: Fleet, serverId: string) => Promise<void>;
  /** Whether the event affects all servers of the failure domain. */
  readonly affectsDomain: boolean;
}
