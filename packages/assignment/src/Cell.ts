import type { Fence } from '#assignment/Fence.js';
import type { Member } from '#assignment/Member.js';
import type { Shard } from '#assignment/Shard.js';

/** One part of a service with its members and the owners of its shards, stored as one object. */
export interface Cell {
  readonly service: string;
  readonly index: number;
  /** Store version of this object; 0 before it is first written. */
  readonly version: number;
  /** Mark of the last write, by which a writer recognizes its own write after a lost reply. */
  readonly mark: string;
  readonly members: readonly Member[];
  /**
   * Shards by id: `<placement>/<0..127>` for a hash slot, `<placement>/key:<16 hex digits>` for a hot key.
   * A placement is `*` or sorted region names joined by `+`.
   */
  readonly shards: Readonly<Record<string, Shard>>;
  readonly fences: readonly Fence[];
}
