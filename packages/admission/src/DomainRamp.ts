/** Fraction of its usual load that a failure domain receives at first after its return. */
const INITIAL_SHARE = 1 / 16;

/** The share of a failure domain doubles after this time without signs of overload. */
const DOUBLING_INTERVAL_MS = 500;

/** Share of one failure domain, and the times of its last changes. */
class Ramp {
  public share = INITIAL_SHARE;
  public stepMs: number;
  public overloadMs = -Infinity;

  public constructor(nowMs: number) {
    this.stepMs = nowMs;
  }
}

/**
 * Ramps up the load of a whole failure domain that returns to service, whatever the number of its backend servers: they
 * share caches, stores and links, which are all cold. Callers multiply the share of each server by `domainShare`.
 */
export class DomainRamp {
  private readonly ramps = new Map<string, Ramp>();

  /** Begins the ramp of a failure domain that was out of service. Has no effect if its ramp has already begun. */
  public begin(failureDomain: string, nowMs: number): void {
    if (!this.ramps.has(failureDomain)) this.ramps.set(failureDomain, new Ramp(nowMs));
  }

  /** Removes the ramp of a failure domain that is out of service again. */
  public withdraw(failureDomain: string): void {
    this.ramps.delete(failureDomain);
  }

  /** Halves the share after a shed request or a latency step in the failure domain, at most once in 500 ms. */
  public noteOverload(failureDomain: string, nowMs: number): void {
    this.domainShare(failureDomain, nowMs);
    const ramp = this.ramps.get(failureDomain);
    if (ramp === undefined) return;
    ramp.stepMs = nowMs;
    if (nowMs - ramp.overloadMs < DOUBLING_INTERVAL_MS) return;
    ramp.share = Math.max(INITIAL_SHARE, ramp.share / 2);
    ramp.overloadMs = nowMs;
  }

  /** Returns the fraction of its usual load that the failure domain may receive, up to 1. */
  public domainShare(failureDomain: string, nowMs: number): number {
    const ramp = this.ramps.get(failureDomain);
    if (ramp === undefined) return 1;
    const steps = Math.floor((nowMs - ramp.stepMs) / DOUBLING_INTERVAL_MS);
    ramp.share = Math.min(1, ramp.share * 2 ** steps);
    ramp.stepMs += steps * DOUBLING_INTERVAL_MS;
    if (ramp.share >= 1) this.ramps.delete(failureDomain);
    return ramp.share;
  }
}
