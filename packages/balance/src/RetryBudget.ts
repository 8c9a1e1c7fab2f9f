/** Duration of a window, in milliseconds. Requests in the current and the previous window count as recent. */
const WINDOW_MS = 5_000;

/** Maximum number of pairs of team and class; above it, the pair that was added first is forgotten. */
const MAX_USAGES = 10_000;

class UsageWindows {
  public windowMs: number;
  public requests = 0;
  public retries = 0;
  public previousRequests = 0;
  public previousRetries = 0;

  public constructor(nowMs: number) {
    this.windowMs = nowMs;
  }

  public rotate(nowMs: number): void {
    const elapsed = nowMs - this.windowMs;
    if (elapsed < WINDOW_MS) return;
    const adjacent = elapsed < 2 * WINDOW_MS;
    this.previousRequests = adjacent ? this.requests : 0;
    this.previousRetries = adjacent ? this.retries : 0;
    this.requests = 0;
    this.retries = 0;
    this.windowMs = adjacent ? this.windowMs + WINDOW_MS : nowMs;
  }
}

/**
 * Limits retries and hedges of each team and class to a fraction of its recent requests, so that retries cannot amplify
 * an overload. Times are monotonic, in milliseconds.
 */
export class RetryBudget {
  private readonly fraction: number;
  private readonly minimum: number;
  private readonly usages = new Map<string, UsageWindows>();

  /** `minimum` is the number of recent retries that is always allowed, whatever the number of requests. */
  public constructor(fraction: number, minimum: number) {
    this.fraction = fraction;
    this.minimum = minimum;
  }

  /** Counts a request of a caller; retries are not counted. */
  public noteRequest(team: string, requestClass: string, nowMs: number): void {
    this.findUsage(team, requestClass, nowMs).requests += 1;
  }

  /** Whether the budget allows one more retry. */
  public allows(team: string, requestClass: string, nowMs: number): boolean {
    const usage = this.findUsage(team, requestClass, nowMs);
    const limit = Math.max(this.minimum, this.fraction * (usage.requests + usage.previousRequests));
    return usage.retries + usage.previousRetries + 1 <= limit;
  }

  /** Charges one retry to the budget. Returns false if the budget does not allow it. */
  public spend(team: string, requestClass: string, nowMs: number): boolean {
    if (!this.allows(team, requestClass, nowMs)) return false;
    this.findUsage(team, requestClass, nowMs).retries += 1;
    return true;
  }

  private findUsage(team: string, requestClass: string, nowMs: number): UsageWindows {
    const key = `${team}\n${requestClass}`;
    const usage = this.usages.get(key) ?? this.addUsage(key, nowMs);
    usage.rotate(nowMs);
    return usage;
  }

  private addUsage(key: string, nowMs: number): UsageWindows {
    const [oldest] = this.usages.keys();
    if (this.usages.size >= MAX_USAGES && oldest !== undefined) this.usages.delete(oldest);
    const usage = new UsageWindows(nowMs);
    this.usages.set(key, usage);
    return usage;
  }
}
