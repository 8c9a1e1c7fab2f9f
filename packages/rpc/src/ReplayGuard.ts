import { maxMessageAgeMs } from '#rpc/MessageAge.js';

/** Accepts each signed request once and only while it is recent. */
export class ReplayGuard {
  private recent = new Set<string>();
  private earlier = new Set<string>();
  private rotatedAtMs = Number.NEGATIVE_INFINITY;

  /** Whether the request with this signature may be handled; times are wall-clock milliseconds. */
  public accept(signature: string, sentAtMs: number, nowMs: number): boolean {
    if (Math.abs(nowMs - sentAtMs) > maxMessageAgeMs) return false;
    this.rotate(nowMs);
    if (this.recent.has(signature) || this.earlier.has(signature)) return false;
    this.recent.add(signature);
    return true;
  }

  /** A signature can be accepted for twice `MESSAGE_AGE_MS` at most: from that much before its time to after it. */
  private rotate(nowMs: number): void {
    if (Math.abs(nowMs - this.rotatedAtMs) < 2 * maxMessageAgeMs) return;
    this.rotatedAtMs = nowMs;
    this.earlier = this.recent;
    this.recent = new Set();
  }
}
