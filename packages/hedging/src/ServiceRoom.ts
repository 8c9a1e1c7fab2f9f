import type { HedgeLoad } from '#hedging/HedgeLoad.js';
import type { HedgeResult } from '#hedging/HedgeResult.js';

/** Age from which a load report no longer shows that a slot is free, in milliseconds. */
const REPORT_VALID_MS = 1_000;

/** Time after a refusal for which its service counts as short of capacity, in milliseconds. */
const REFUSAL_MEMORY_MS = 3_000;

interface Report {
  readonly load: HedgeLoad;
  readonly atMs: number;
}

/**
 * Knows which backend servers have a free slot, and which services have refused requests lately. A second copy must not take
 * a slot that another request waits for. Times are monotonic, in milliseconds.
 */
export class ServiceRoom {
  private readonly reports = new Map<string, Report>();
  private readonly refusedMs = new Map<string, number>();
  /** Servers that may get new requests; undefined until they are known. */
  private usable: ReadonlySet<string> | undefined;

  /** Notes the result of a request to a server. */
  public note(service: string, serverId: string, result: HedgeResult, nowMs: number): void {
    if (result.type === 'refused') this.refusedMs.set(service, nowMs);
    if (result.load !== undefined) this.reports.set(serverId, { load: result.load, atMs: nowMs });
  }

  /** Whether no request of the service was refused lately. */
  public isServing(service: string, nowMs: number): boolean {
    return nowMs - (this.refusedMs.get(service) ?? -Infinity) >= REFUSAL_MEMORY_MS;
  }

  /** Number of slots that the server reported as free; 0 without a recent report, or if it may get no new requests. */
  public countFreeSlots(serverId: string, nowMs: number): number {
    const report = this.reports.get(serverId);
    if (this.usable?.has(serverId) === false || report === undefined || nowMs - report.atMs > REPORT_VALID_MS)
      return 0;
    const { running, queued, slots } = report.load;
    return Math.max(0, slots - running - queued);
  }

  /**
   * Notes the servers that may get new requests, and forgets all others and the services that refused nothing lately.
   */
  public retain(serverIds: ReadonlySet<string>, nowMs: number): void {
    this.usable = serverIds;
    for (const id of this.reports.keys()) if (!serverIds.has(id)) this.reports.delete(id);
    for (const service of this.refusedMs.keys())
      if (this.isServing(service, nowMs)) this.refusedMs.delete(service);
  }
}
