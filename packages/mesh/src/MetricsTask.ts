import { createServer, type Server, type ServerResponse } from 'node:http';
import { Task } from '#core/Task.js';
import { formatHistogram } from '#metrics/FormatHistogram.js';
import { formatPrometheus } from '#metrics/FormatPrometheus.js';
import type { MetricsRecorder } from '#metrics/MetricsRecorder.js';
import type { PhaseRecorder } from '#metrics/PhaseRecorder.js';
import type { TenantMetrics } from '#tenants/TenantMetrics.js';
import { listenAt } from '#mesh/ListenAt.js';

/** An HTTP request for the metrics. */
interface MetricsMessage {
  readonly res: ServerResponse;
}

/** Serves counters and histograms in the Prometheus text format. Owns the listening socket. */
export class MetricsTask extends Task<MetricsMessage> {
  private readonly metrics: MetricsRecorder;
  private readonly delays: PhaseRecorder;
  private readonly tenants: TenantMetrics;
  private readonly server: Server;

  /**
   * `delays` is the histogram of the times between the arrival of a request and the start of its processing.
   */
  public constructor(metrics: MetricsRecorder, delays: PhaseRecorder, tenants: TenantMetrics) {
    super();
    this.metrics = metrics;
    this.delays = delays;
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
    const delays = formatHistogram(
      'amaranthrouter_read_delay_seconds',
      'Time from the arrival of a request until work on it begins.',
      this.delays.buckets(),
    );
    res.end(`${formatPrometheus(this.metrics.snapshotBuckets())}${delays}${this.tenants.format()}`);
  }
}
