import type { WitnessLink } from '#lease/WitnessLink.js';

/** What the holder of a lease knows of its epoch, its lease and its witnesses. Times are monotonic. */
export interface HolderContext {
  readonly serverId: string;
  /** Epoch that the store accepted last; 0 before the first. */
  readonly epoch: number;
  /** Time at which the write of `epoch` began. */
  readonly startedMs: number;
  /** Time at which a write of a higher epoch began whose result is not known; undefined if there is none. */
  readonly writeStartedMs: number | undefined;
  /** The holder may act while the monotonic clock is below this. */
  readonly leaseEndMs: number;
  /** Highest epoch that a witness will never renew again. */
  readonly promisedEpoch: number;
  /** Time of the newest round of renewals. */
  readonly roundAtMs: number;
  readonly links: readonly WitnessLink[];
}
