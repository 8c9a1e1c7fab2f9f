import type { Member } from '#assignment/Member.js';

/** What a member answered; undefined if it could not be reached. */
export interface FleetResponse<T> {
  readonly member: Member;
  readonly answer: T | undefined;
}
