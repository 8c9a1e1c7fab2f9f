import type { StoreHealth } from '#admin/StoreHealth.js';

/** State of one daemon. */
export interface DaemonStatus {
  readonly serverId: string;
  readonly service: string;
  readonly region: string;
  readonly failureDomain: string;
  readonly vm: string;
  readonly epoch: number;
  /** Time until the lease expires, in milliseconds; 0 without a valid lease. */
  readonly leaseLeftMs: number;
  readonly ownedShards: number;
  readonly catalogueVersion: number;
  readonly intentVersion: number;
  readonly draining: boolean;
  readonly backend: {
    readonly state: string;
    readonly slots: number;
    /** Slots that slow start currently permits. */
    readonly slotLimit: number;
    readonly inFlight: number;
  };
  readonly store: StoreHealth;
}
