import type { QuotaAsk } from '#admission/QuotaAsk.js';
import type { QuotaSlice } from '#admission/QuotaSlice.js';
import type { CatalogueUpdate } from '#control/CatalogueUpdate.js';
import type { CellUpdate } from '#control/CellUpdate.js';
import type { OwnershipUpdate } from '#control/OwnershipUpdate.js';

/** Messages of the quota task. */
export type QuotaMessage =
  | OwnershipUpdate
  | CellUpdate
  | CatalogueUpdate
  | {
      readonly type: 'ask';
      readonly ask: QuotaAsk;
      /** Gets undefined if this daemon does not hold the limits of the entry. */
      readonly reply: (slice: QuotaSlice | undefined) => void;
    };
