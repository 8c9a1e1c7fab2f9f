import type { AdoptRequest } from '#control/AdoptRequest.js';
import type { CatalogueUpdate } from '#control/CatalogueUpdate.js';
import type { CellUpdate } from '#control/CellUpdate.js';
import type { IntentUpdate } from '#control/IntentUpdate.js';
import type { OwnershipUpdate } from '#control/OwnershipUpdate.js';
import type { ShardReleaseRequest } from '#control/ShardReleaseRequest.js';

/** Messages that the control tasks send to the request path of the same daemon. */
export type ControlEvent =
  OwnershipUpdate | CellUpdate | CatalogueUpdate | IntentUpdate | ShardReleaseRequest | AdoptRequest;
