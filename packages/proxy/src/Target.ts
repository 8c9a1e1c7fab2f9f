import type { Member } from '#assignment/Member.js';

/** The daemon that a request is sent to. */
export interface Target {
  readonly member: Member;
  /** Whether the daemon is in another region. */
  readonly crossesRegions: boolean;
}
