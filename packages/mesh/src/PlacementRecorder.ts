import type { Logger } from '#core/Logger.js';
import type { MetricsRecorder } from '#metrics/MetricsRecorder.js';
import type { PlacementSpread } from '#placement/PlacementSpread.js';
import type { DaemonIdentity } from '#mesh/DaemonIdentity.js';
import type { ServerEntry } from '#mesh/ServerEntry.js';

/** Shortest time between two log lines about one service, in milliseconds. */
const LOG_INTERVAL_MS = 10_000;

interface ServiceChoices {
  readonly sinceMs: number;
  readonly near: number;
  readonly otherDomain: number;
  readonly otherRegion: number;
}

/** Counts the chosen servers by distance, and logs for each service how its load is spread over its servers. */
export class PlacementRecorder {
  private readonly identity: DaemonIdentity;
  private readonly logger: Logger;
  private readonly metrics: MetricsRecorder;
  private readonly choices = new Map<string, ServiceChoices>();

  public constructor(identity: DaemonIdentity, logger: Logger, metrics: MetricsRecorder) {
    this.identity = identity;
    this.logger = logger;
    this.metrics = metrics;
  }

  /** Notes a choice. `describe` is called when a line is due. */
  public note(
    { service, region, failureDomain }: ServerEntry,
    servers: number,
    describe: () => PlacementSpread,
    nowMs: number,
  ): void {
    const isOtherRegion = region !== this.identity.region;
    const isOtherDomain = !isOtherRegion && failureDomain !== this.identity.failureDomain;
    if (isOtherRegion) this.metrics.count('placedOtherRegion');
    else this.metrics.count(isOtherDomain ? 'placedOtherDomain' : 'placedNear');
    const before = this.choices.get(service) ?? { sinceMs: nowMs, near: 0, otherDomain: 0, otherRegion: 0 };
    const next = {
      sinceMs: before.sinceMs,
      near: before.near + (isOtherRegion || isOtherDomain ? 0 : 1),
      otherDomain: before.otherDomain + (isOtherDomain ? 1 : 0),
      otherRegion: before.otherRegion + (isOtherRegion ? 1 : 0),
    };
    const isDue = nowMs - before.sinceMs >= LOG_INTERVAL_MS;
    if (isDue) this.log(service, servers, next, describe());
    this.choices.set(service, isDue ? { sinceMs: nowMs, near: 0, otherDomain: 0, otherRegion: 0 } : next);
  }

  private log(
    service: string,
    servers: number,
    { near, otherDomain, otherRegion }: ServiceChoices,
    { reported, meanLoad, busiest, busiestLoad }: PlacementSpread,
  ): void {
    this.logger.log('loadSpread', {
      step: 'route',
      service,
      servers,
      reported,
      meanLoad: Number(meanLoad.toFixed(2)),
      busiest,
      busiestLoad: Number(busiestLoad.toFixed(2)),
      near,
      otherDomain,
      otherRegion,
    });
  }
}
