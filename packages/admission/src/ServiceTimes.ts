/** Weight of a new measurement in the moving average. */
const WEIGHT = 0.1;

/** Classes whose service times are kept at most; the oldest is forgotten. */
const MAX_CLASSES = 256;

/** Moving averages of the service time at one backend server, in milliseconds: of each class, and of all. */
export class ServiceTimes {
  private readonly byClass = new Map<string, number>();
  private all: number | undefined;

  public add(requestClass: string, serviceMs: number): void {
    this.all = average(this.all, serviceMs);
    const known = this.byClass.get(requestClass);
    if (known === undefined && this.byClass.size >= MAX_CLASSES) this.forgetOldest();
    this.byClass.set(requestClass, average(known, serviceMs));
  }

  /** Expected service time of a request; that of all classes for a class without measurements, 0 without any. */
  public expect(requestClass: string): number {
    return this.byClass.get(requestClass) ?? this.all ?? 0;
  }

  private forgetOldest(): void {
    const [oldest] = this.byClass.keys();
    if (oldest !== undefined) this.byClass.delete(oldest);
  }
}

function average(mean: number | undefined, value: number): number {
  return mean === undefined ? value : mean + WEIGHT * (value - mean);
}
