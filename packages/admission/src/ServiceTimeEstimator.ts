/** Weight of a new measurement in the exponential moving average. */
const AVERAGE_WEIGHT = 0.1;

/** Bounds the classes whose service times are kept; the oldest is evicted. */
const MAX_CLASSES = 256;

/**
 * Time after which the estimate of a class without new measurements is capped at the average of all classes, in
 * milliseconds. Otherwise a class that was slow once could be refused for ever and would never be measured again.
 */
const STALE_MS = 5_000;

class ClassTime {
  public meanMs: number;
  public measuredMs = 0;

  public constructor(meanMs: number) {
    this.meanMs = meanMs;
  }
}

/** Moving averages of the service time at one backend server, in milliseconds, for each class and for all classes. */
export class ServiceTimeEstimator {
  private readonly byClass = new Map<string, ClassTime>();
  private all: number | undefined;

  public add(requestClass: string, serviceMs: number, nowMs: number): void {
    this.all = average(this.all, serviceMs);
    const known = this.byClass.get(requestClass) ?? this.addClass(requestClass, serviceMs);
    known.meanMs = average(known.meanMs, serviceMs);
    known.measuredMs = nowMs;
  }

  /** Returns the expected service time: that of the class if it was measured, else that of all classes, or else 0. */
  public estimateMs(requestClass: string, nowMs: number): number {
    const all = this.all ?? 0;
    const known = this.byClass.get(requestClass);
    if (known === undefined) return all;
    return nowMs - known.measuredMs > STALE_MS ? Math.min(all, known.meanMs) : known.meanMs;
  }

  private addClass(requestClass: string, serviceMs: number): ClassTime {
    if (this.byClass.size >= MAX_CLASSES) this.forgetOldest();
    const added = new ClassTime(serviceMs);
    this.byClass.set(requestClass, added);
    return added;
  }

  private forgetOldest(): void {
    const [oldest] = this.byClass.keys();
    if (oldest !== undefined) this.byClass.delete(oldest);
  }
}

function average(mean: number | undefined, value: number): number {
  return mean === undefined ? value : mean + AVERAGE_WEIGHT * (value - mean);
}
