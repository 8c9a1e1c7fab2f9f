import type { MemberFacts } from '#assignment/MemberFacts.js';

/** The cell that a daemon is or becomes a member of. */
export interface CellHome {
  readonly facts: MemberFacts;
  readonly service: string;
  readonly index: number;
  /** Name of the cell's object. */
  readonly name: string;
}
