/** Simulated backend server: `slots` requests run at once, further ones wait in the order of their arrival. */
export class FifoServer {
  private readonly freeAtMs: Float64Array;
  private inFlight = 0;

  public constructor(slots: number) {
    this.freeAtMs = new Float64Array(slots);
  }

  /** Number of running and waiting requests. */
  public get load(): number {
    return this.inFlight;
  }

  /** Accepts a request and returns the time at which it finishes, in milliseconds. */
  public accept(nowMs: number, serviceMs: number): number {
    const slot = this.freeAtMs.indexOf(this.freeAtMs.reduce((least, value) => Math.min(least, value)));
    const finishMs = Math.max(nowMs, this.freeAtMs[slot] ?? 0) + serviceMs;
    this.freeAtMs[slot] = finishMs;
    this.inFlight += 1;
    return finishMs;
  }

  public finish(): void {
    this.inFlight -= 1;
  }
}
