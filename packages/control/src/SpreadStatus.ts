import type { PeerDigest } from '#control/PeerDigest.js';

/** Versions of the catalogue and the intent that a daemon and its peers hold, for operators. */
export interface SpreadStatus {
  readonly catalogueVersion: number;
  readonly intentVersion: number;
  /** Whether this daemon watches the store for its region. */
  readonly isReader: boolean;
  readonly seen: readonly PeerDigest[];
}
