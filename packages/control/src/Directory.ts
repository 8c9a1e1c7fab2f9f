import type { Member } from '#assignment/Member.js';

/** Members of all cells that a daemon holds, by server id. */
export type Directory = ReadonlyMap<string, Member>;
