import type { MemberFacts } from '#assignment/MemberFacts.js';

/** The cell that this daemon joins, and the facts that it registers there. */
export interface CellHome {
  readonly facts: MemberFacts;
  readonly service: string;
  readonly index: number;
  /** Name of the cell's object in the store. */
  readonly name: string;
}
