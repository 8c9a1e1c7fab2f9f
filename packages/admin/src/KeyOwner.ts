/** Owner of a key in one placement. */
export interface KeyOwner {
  /** `*`, or sorted region names joined by `+`. */
  readonly placement: string;
  readonly shardId: string;
  /** Empty while no member is eligible to own the shard. */
  readonly serverId: string;
  /** Address for callers (`host:port`); empty without an owner. */
  readonly address: string;
  readonly token: number;
  /** Why this member owns the shard: `hash slot`, `hot key`, `takeover of x`, `move from x`, and so on. */
  readonly reason: string;
}
