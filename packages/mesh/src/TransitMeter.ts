import { WindowedMinimum } from '#mesh/WindowedMinimum.js';

/**
 * Measures how much longer than the quickest recent message a message of one peer was under way, including the time that
 * it waited to be read. The clocks of the two VMs may differ; only their steps, and changes of the route, are taken for
 * delays, until the window of the minimum has passed.
 */
export class TransitMeter {
  private readonly least = new WindowedMinimum();

  /** Returns the delay of a message, from the wall clocks of both VMs and the monotonic time, in milliseconds. */
  public measureMs(sentWallMs: number, receivedWallMs: number, nowMs: number): number {
    const differenceMs = receivedWallMs - sentWallMs;
    this.least.note(differenceMs, nowMs);
    return Math.max(0, differenceMs - (this.least.value ?? differenceMs));
  }
}
