/** Duration of one of the two windows whose requests count as recent, in milliseconds. */
const WINDOW_MS = 5_000;

/** Teams and classes that are counted at most; the oldest is forgotten. */
const MAX_ROWS = 10_000;

class Use {
  public windowMs: number;
  public requests = 0;
  public retries = 0;
  public lastRequests = 0;
  public lastRetries = 0;

  public constructor(nowMs: number) {
    this.windowMs = nowMs;
  }

  public turn(nowMs: number): void {
    const elapsed = nowMs - this.windowMs;
    if (elapsed < WINDOW_MS) return;
    const adjacent = elapsed < 2 * WINDOW_MS;
    this.lastRequests = adjacent ? this.requests : 0;
    this.lastRetries = adjacent ? this.retries : 0;
    this.requests = 0;
    this.retries = 0;
    this.windowMs = adjacent ? this.windowMs + WINDOW_MS : nowMs;
  }
}

/**
 * Bounds retries and hedges of each team and class to a fraction of its recent requests, so that retries cannot
 * multiply an overload. Times are monotonic, in milliseconds.
 */
export class RetryBudget {
  private readonly fraction: number;
  private readonly minimum: number;
  private readonly rows = new Map<string, Use>();

  /** `minimum` is the number of retries within the recent time that are allowed whatever the number of requests. */
  public constructor(fraction: number, minimum: number) {
    this.fraction = fraction;
    this.minimum = minimum;
  }

  /** Counts a request of a caller; retries are not counted. */
  public noteRequest(team: string, requestClass: string, nowMs: number): void {
    this.findUse(team, requestClass, nowMs).requests += 1;
  }

  /** Whether the budget allows one more retry. */
  public allows(team: string, requestClass: string, nowMs: number): boolean {
    const use = this.findUse(team, requestClass, nowMs);
    const limit = Math.max(this.minimum, this.fraction * (use.requests + use.lastRequests));
    return use.retries + use.lastRetries + 1 <= limit;
  }

  /** Takes one retry from the budget if it allows one. */
  public spend(team: string, requestClass: string, nowMs: number): boolean {
    if (!this.allows(team, requestClass, nowMs)) return false;
    this.findUse(team, requestClass, nowMs).retries += 1;
    return true;
  }

  private findUse(team: string, requestClass: string, nowMs: number): Use {
    const key = `${team}\n${requestClass}`;
    const use = this.rows.get(key) ?? this.addUse(key, nowMs);
    use.turn(nowMs);
    return use;
  }

  private addUse(key: string, nowMs: number): Use {
    const [oldest] = this.rows.keys();
    if (this.rows.size >= MAX_ROWS && oldest !== undefined) this.rows.delete(oldest);
    const use = new Use(nowMs);
    this.rows.set(key, use);
    return use;
  }
}
