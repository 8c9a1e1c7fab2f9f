import type { ClockReading } from '#mesh/ClockReading.js';
import { WindowedMinimum } from '#mesh/WindowedMinimum.js';

/** Longer than a daemon is without processor time, so that the window has a message that was read at once. */
const WINDOW_MS = 30_000;

/**
 * Measures how much longer than the quickest recent message a message of one peer was under way, including the time that
 * it waited to be read. The clocks of the two VMs may differ. A step of the wall clock and a suspension, in which the
 * monotonic clock stands still, look like a delay on one clock only, so the lesser delay counts.
 */
export class TransitMeter {
  private readonly leastWall = new WindowedMinimum(WINDOW_MS);
  private readonly leastMonotonic = new WindowedMinimum(WINDOW_MS);

  /** Returns the delay of a message, from the clocks of the peer when it was sent and of this VM now, in milliseconds. */
  public measureMs(sent: ClockReading, received: ClockReading): number {
    const { monotonicMs: nowMs } = received;
    const wallMs = excessMs(this.leastWall, received.wallMs - sent.wallMs, nowMs);
    const monotonicMs = excessMs(this.leastMonotonic, received.monotonicMs - sent.monotonicMs, nowMs);
    return Math.min(wallMs, monotonicMs);
  }
}

function excessMs(least: WindowedMinimum, differenceMs: number, nowMs: number): number {
  least.note(differenceMs, nowMs);
  return differenceMs - (least.value ?? differenceMs);
}
