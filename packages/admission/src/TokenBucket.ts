/** Token bucket: tokens accrue at a rate, up to a burst. Times are monotonic, in milliseconds. */
export class TokenBucket {
  private ratePerSecond: number;
  private burst: number;
  private tokens: number;
  private lastMs: number;

  /** The bucket starts with `tokens`, but with at most `burst`. */
  public constructor(ratePerSecond: number, burst: number, tokens: number, nowMs: number) {
    this.ratePerSecond = ratePerSecond;
    this.burst = burst;
    this.tokens = Math.min(tokens, burst);
    this.lastMs = nowMs;
  }

  /** Takes `count` tokens if the bucket holds that many; returns whether it did. */
  public take(nowMs: number, count = 1): boolean {
    this.accrue(nowMs);
    if (this.tokens < count) return false;
    this.tokens -= count;
    return true;
  }

  /** Takes up to `limit` tokens and returns the number taken, which may be a fraction. */
  public takeUpTo(limit: number, nowMs: number): number {
    this.accrue(nowMs);
    const taken = Math.min(this.tokens, limit);
    this.tokens -= taken;
    return taken;
  }

  /** Returns the number of tokens, which may be a fraction. */
  public available(nowMs: number): number {
    this.accrue(nowMs);
    return this.tokens;
  }

  /** Changes rate and burst; tokens above the new burst are lost. */
  public resize(ratePerSecond: number, burst: number, nowMs: number): void {
    this.accrue(nowMs);
    this.ratePerSecond = ratePerSecond;
    this.burst = burst;
    this.tokens = Math.min(this.tokens, burst);
  }

  /** Adds tokens, up to the burst. */
  public add(tokens: number): void {
    this.tokens = Math.min(this.burst, this.tokens + tokens);
  }

  /** Returns the time until `count` tokens are available, in milliseconds; infinite if that can never happen. */

  public waitMs(nowMs: number, count = 1): number {
    this.accrue(nowMs);
    if (this.tokens >= count) return 0;
    if (this.burst < count || this.ratePerSecond <= 0) return Infinity;
    return ((count - this.tokens) / this.ratePerSecond) * 1_000;
  }

  private accrue(nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.lastMs);
    this.tokens = Math.min(this.burst, this.tokens + (elapsedMs * this.ratePerSecond) / 1_000);
    this.lastMs = Math.max(this.lastMs, nowMs);
  }
}
