import type { QuotaRequest } from '#admission/QuotaRequest.js';
import type { QuotaGrant } from '#admission/QuotaGrant.js';
import type { CatalogueUpdate } from '#control/CatalogueUpdate.js';
import type { CellUpdate } from '#control/CellUpdate.js';
import type { OwnershipUpdate } from '#control/OwnershipUpdate.js';

/** Messages that the quota task receives. */
export type QuotaMessage =
  | OwnershipUpdate
  | CellUpdate
  | CatalogueUpdate
  | {
      readonly type: 'ask';
      readonly ask: QuotaRequest;
      /** Called with undefined if this daemon does not hold the limits of the entry, or cannot grant any yet. */
      readonly reply: (grant: QuotaGrant | undefined) => void;
    };
