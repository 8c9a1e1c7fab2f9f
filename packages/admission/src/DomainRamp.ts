/** Part of its usual work that a failure domain receives first after its return. */
const FIRST_SHARE = 1 / 16;

/** Time without trouble after which the share of a failure domain doubles, in milliseconds. */
const STEP_MS = 500;

class Ramp {
  public share = FIRST_SHARE;
  public stepMs: number;
  public troubleMs = -Infinity;

  public constructor(nowMs: number) {
    this.stepMs = nowMs;
  }
}

/**
 * Ramps up a failure domain that returns as one, however many of its backend servers come back at once: they share
 * caches, stores and links that are cold together. Callers multiply the share of each server by `domainShare`.
 */
export class DomainRamp {
  private readonly ramps = new Map<string, Ramp>();

  /** Begins the ramp of a failure domain that was out of service; has no effect on a ramp that runs. */
  public begin(failureDomain: string, nowMs: number): void {
    if (!this.ramps.has(failureDomain)) this.ramps.set(failureDomain, new Ramp(nowMs));
  }

  /** Ends a ramp because the failure domain is out of service again. */
  public withdraw(failureDomain: string): void {
    this.ramps.delete(failureDomain);
  }

  /** Notes a shed or latency step of a backend server in the failure domain: halves the share, once in a step. */
  public trouble(failureDomain: string, nowMs: number): void {
    this.domainShare(failureDomain, nowMs);
    const ramp = this.ramps.get(failureDomain);
    if (ramp === undefined) return;
    ramp.stepMs = nowMs;
    if (nowMs - ramp.troubleMs < STEP_MS) return;
    ramp.share = Math.max(FIRST_SHARE, ramp.share / 2);
    ramp.troubleMs = nowMs;
  }

  /** Part of its usual work that the failure domain may receive, up to 1. */
  public domainShare(failureDomain: string, nowMs: number): number {
    const ramp = this.ramps.get(failureDomain);
    if (ramp === undefined) return 1;
    const steps = Math.floor((nowMs - ramp.stepMs) / STEP_MS);
    ramp.share = Math.min(1, ramp.share * 2 ** steps);
    ramp.stepMs += steps * STEP_MS;
    if (ramp.share >= 1) this.ramps.delete(failureDomain);
    return ramp.share;
  }
}
