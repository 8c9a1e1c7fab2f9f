import { LogSampler } from '#core/LogSampler.js';
import type { Logger } from '#core/Logger.js';
import type { Outcome } from '#delivery/Outcome.js';
import type { MetricsRecorder } from '#metrics/MetricsRecorder.js';
import type { MeshExchange } from '#mesh/MeshExchange.js';

/** Maximum number of log lines per second for requests that were delivered in time. */
const MAX_DELIVERED_LINES_PER_SECOND = 10;

const MICROS_PER_MS = 1_000;

/** Logs the end of each request and counts its outcome. */
export class RequestRecorder {
  private readonly logger: Logger;
  private readonly metrics: MetricsRecorder;
  private readonly sampler = new LogSampler(MAX_DELIVERED_LINES_PER_SECOND);

  public constructor(logger: Logger, metrics: MetricsRecorder) {
    this.logger = logger;
    this.metrics = metrics;
  }

  /** `detail` is the status of the response or the code of the refusal, `version` that of the configuration. */
  public record(
    exchange: MeshExchange,
    outcome: Outcome,
    detail: string,
    version: number | undefined,
    nowMs: number,
  ): void {
    const { request, route, service } = exchange;
    const tookMs = nowMs - request.arrivedMs;
    this.metrics.countOutcome(service, route.name, outcome);
    this.metrics.recordPhase(service, route.name, 'whole', Math.round(tookMs * MICROS_PER_MS));
    const omitted = outcome === 'delivered' ? this.sampler.admit(nowMs) : 0;
    if (omitted === undefined) return;
    this.logger.log('requestEnded', {
      id: request.id,
      route: route.name,
      service,
      outcome,
      detail,
      tenant: exchange.tenant?.name,
      key: request.key,
      servers: [...exchange.tried].join(','),
      offers: exchange.offers,
      arrivals: exchange.arrivals,
      tookMs: Math.round(tookMs),
      version,
      omitted,
    });
  }
}
