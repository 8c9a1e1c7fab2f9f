import { maxMessageAgeMs } from '#rpc/MaxMessageAgeMs.js';

/** Rejects signed requests that are repeated or too old. */
export class ReplayGuard {
  private current = new Set<string>();
  private previous = new Set<string>();
  private rotatedAtMs = Number.NEGATIVE_INFINITY;

  /** Returns whether the request with this signature may be handled, and remembers it. Times are Unix milliseconds. */
  public accept(signature: string, sentAtMs: number, nowMs: number): boolean {
    if (Math.abs(nowMs - sentAtMs) > maxMessageAgeMs) return false;
    this.rotate(nowMs);
    if (this.current.has(signature) || this.previous.has(signature)) return false;
    this.current.add(signature);
    return true;
  }

  /** A request is acceptable from `maxMessageAgeMs` before its time until as long after it: for twice that time. */
  private rotate(nowMs: number): void {
    if (Math.abs(nowMs - this.rotatedAtMs) < 2 * maxMessageAgeMs) return;
    this.rotatedAtMs = nowMs;
    this.previous = this.current;
    this.current = new Set();
  }
}
