/** Weight of a measurement above the average: a slowed server is avoided after a few answers. */
const RISE_WEIGHT = 0.3;

/** Weight of a measurement below the average, so that one quick answer does not clear a slowed server. */
const FALL_WEIGHT = 0.1;

/** Time constant with which the average fades while no answers come, in milliseconds; leads to trials after a while. */
const FADE_MS = 10_000;

/**
 * Moving average of latencies, in milliseconds. The weights do not depend on the time since the last measurement: with
 * weights that do, a slowed server was cleared by its first quick answer after each pause, and received 0.30 % of the
 * requests instead of 0.14 % (`MeasureStraggler`).
 */
export class LatencyAverage {
  private meanMs: number | undefined;
  private updatedMs = 0;

  public add(latencyMs: number, nowMs: number): void {
    const faded = this.valueMs(nowMs);
    const weight = latencyMs > faded ? RISE_WEIGHT : FALL_WEIGHT;
    this.meanMs = this.meanMs === undefined ? latencyMs : faded + weight * (latencyMs - faded);
    this.updatedMs = nowMs;
  }

  /** The average at `nowMs`; 0 without a measurement. */
  public valueMs(nowMs: number): number {
    return (this.meanMs ?? 0) * Math.exp(-Math.max(0, nowMs - this.updatedMs) / FADE_MS);
  }
}
