import type { Member } from '#assignment/Member.js';

/** The daemon that an order goes to. */
export interface Target {
  readonly member: Member;
  /** Whether the order passes between regions. */
  readonly crossesRegions: boolean;
}
