import type { Cell } from '#assignment/Cell.js';
import type { WithdrawalTarget } from '#assignment/WithdrawalTarget.js';
import type { CatalogueIndex } from '#catalogue/CatalogueIndex.js';

/** What the entry task routes by: the catalogue, the cells that this daemon knows, by `service/index`, and what operators took out. */
export interface RoutingView {
  readonly index: CatalogueIndex | undefined;
  readonly cells: ReadonlyMap<string, Cell>;
  readonly withdrawn: readonly WithdrawalTarget[];
}
