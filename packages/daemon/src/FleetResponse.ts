import type { Member } from '#assignment/Member.js';

/** Response of one member to an administration call; undefined if the member could not be reached. */
export interface FleetResponse<T> {
  readonly member: Member;
  readonly response: T | undefined;
}
