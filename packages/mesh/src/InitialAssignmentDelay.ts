/** The keys are divided once the number of backend servers has not changed for this time, in milliseconds. */
const SETTLE_MS = 1_500;

/** Each daemon after the first waits this much longer before it divides the keys, in milliseconds. */
const RANK_WAIT_MS = 1_000;

/**
 * Delays the first division of a service's keys until its backend servers have started. Times are in
 * milliseconds.
 */
export class InitialAssignmentDelay {
  private servers = 0;
  private sinceMs = 0;

  /**
   * Whether the daemon with this rank should divide the keys now, given the number of servers that can take
   * keys.
   */
  public isDue(servers: number, rank: number, nowMs: number): boolean {
    if (servers !== this.servers) {
      this.servers = servers;
      this.sinceMs = nowMs;
    }
    return rank >= 0 && nowMs - this.sinceMs >= SETTLE_MS + rank * RANK_WAIT_MS;
  }
}
