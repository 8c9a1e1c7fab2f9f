import { createServer, type Server, type ServerResponse } from 'node:http';
import { Task } from '#core/Task.js';
import { formatHistogram } from '#metrics/FormatHistogram.js';
import { formatPrometheus } from '#metrics/FormatPrometheus.js';
import type { MetricsRecorder } from '#metrics/MetricsRecorder.js';
import type { TenantMetrics } from '#tenants/TenantMetrics.js';
import { listenAt } from '#mesh/ListenAt.js';
import type { NamedHistogram } from '#mesh/NamedHistogram.js';

/** An HTTP request for the metrics. */
interface MetricsMessage {
  readonly res: ServerResponse;
}

/** Serves counters and histograms in the Prometheus text format. Owns the listening socket. */
export class MetricsTask extends Task<MetricsMessage> {
  private readonly metrics: MetricsRecorder;
  private readonly histograms: readonly NamedHistogram[];
  private readonly tenants: TenantMetrics;
  private readonly server: Server;

  /** `histograms` are served beside the metrics that are recorded by team and class, and those of tenants. */
  public constructor(
    metrics: MetricsRecorder,
    histograms: readonly NamedHistogram[],
    tenants: TenantMetrics,
  ) {
    super();
    this.metrics = metrics;
    this.histograms = histograms;
    this.tenants = tenants;
    this.server = createServer((_req, res) => this.post({ res }));
  }

  /** Starts listening; rejects if the address is in use. */
  public listen(host: string, port: number): Promise<void> {
    return listenAt(this.server, { host, port });
  }

  public override stop(): void {
    super.stop();
    this.server.close();
    this.server.closeAllConnections();
  }

  protected override receive({ res }: MetricsMessage): void {
    res.writeHead(200, { 'Content-Type': 'text/plain; version=0.0.4' });
    const histograms = this.histograms.map(({ name, help, recorder }) =>
      formatHistogram(name, help, recorder.buckets()),
    );
    res.end(
      [formatPrometheus(this.metrics.snapshotBuckets()), ...histograms, this.tenants.format()].join(''),
    );
  }
}
