import type { BackendRequest } from '#mesh/BackendRequest.js';
import { formatKind } from '#mesh/FormatKind.js';

/** Weight of a new measurement in the moving averages. */
const MEASUREMENT_WEIGHT = 0.08;

/** Service time that is assumed before any measurement, in milliseconds. */
const INITIAL_SERVICE_MS = 40;

/** Moving averages of the service time, one for each kind of request: its priority and target latency. */
export class ServiceTimesByKind {
  private readonly averages = new Map<string, number>();
  private overallMs = INITIAL_SERVICE_MS;

  public add(request: BackendRequest, serviceMs: number): void {
    const kind = formatKind(request);
    const before = this.averages.get(kind);
    this.averages.set(
      kind,
      before === undefined ? serviceMs : before + MEASUREMENT_WEIGHT * (serviceMs - before),
    );
    this.overallMs += MEASUREMENT_WEIGHT * (serviceMs - this.overallMs);
  }

  /** Expected service time of a request, in milliseconds. */
  public estimateMs(request: BackendRequest): number {
    return this.averages.get(formatKind(request)) ?? this.overallMs;
  }

  /** Average service time of all requests, in milliseconds. */
  public get meanMs(): number {
    return this.overallMs;
  }
}
