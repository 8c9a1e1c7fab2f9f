import type { Cell } from '#assignment/Cell.js';
import type { WithdrawalTarget } from '#assignment/WithdrawalTarget.js';
import type { CatalogueIndex } from '#catalogue/CatalogueIndex.js';

/** The data that requests are routed by. */
export interface RoutingView {
  readonly index: CatalogueIndex | undefined;
  /** Cells that this daemon knows, by `service/index`. */
  readonly cells: ReadonlyMap<string, Cell>;
  /** Servers, VMs and failure domains that operators have taken out of service. */
  readonly withdrawn: readonly WithdrawalTarget[];
}
