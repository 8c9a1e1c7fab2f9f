import { Logger } from '#core/Logger.js';
import { ManualClock } from '#core/ManualClock.js';
import { RandomSource } from '#core/RandomSource.js';
import { MetricsRecorder } from '#metrics/MetricsRecorder.js';
import type { CallerReply } from '#mesh/CallerReply.js';
import type { CallerRequest } from '#mesh/CallerRequest.js';
import { EntryTask } from '#mesh/EntryTask.js';
import { FastestCompletion } from '#mesh/FastestCompletion.js';
import type { Tenant } from '#routes/Tenant.js';
import type { QuotaDecision } from '#tenants/QuotaDecision.js';
import { TenantMetrics } from '#tenants/TenantMetrics.js';
import type { BackendRequest } from '#mesh/BackendRequest.js';
import type { BackendResultCallback } from '#mesh/BackendResultCallback.js';
import type { ServerEntry } from '#mesh/ServerEntry.js';
import type { MeshView } from '#mesh/MeshView.js';
import { createTestRequest } from './CreateTestRequest.js';
import { createTestGate } from './CreateTestGate.js';

interface QuotaQuestion {
  readonly tenant: Tenant;
  readonly decide: (decision: QuotaDecision) => void;
}

interface Sent {
  readonly request: BackendRequest;
  readonly server: ServerEntry;
  readonly reply: BackendResultCallback;
}

/** Test harness of `EntryTask`: records the requests that it sends, and lets a test supply their results. */
export class EntryRun {
  public readonly clock = new ManualClock();
  public readonly sent: Sent[] = [];
  public readonly cancelled: string[] = [];
  public readonly replies: CallerReply[] = [];
  public readonly questions: QuotaQuestion[] = [];
  public readonly tenantMetrics = new TenantMetrics();
  public readonly task: EntryTask;
  private exchanges = 0;

  public constructor(view?: MeshView) {
    const identity = { serverId: 'own', failureDomain: 'd', region: 'r', service: 'c' };
    this.task = new EntryTask({
      identity,
      clock: this.clock,
      logger: new Logger('test'),
      metrics: new MetricsRecorder(),
      chooser: new FastestCompletion(
        identity,
        new RandomSource(1),
        new Logger('test'),
        new MetricsRecorder(),
      ),
      tenants: createTestGate({
        clock: this.clock,
        metrics: this.tenantMetrics,
        admit: (tenant, decide) => this.questions.push({ tenant, decide }),
      }),
      retryFraction: 0.2,
      retryMinimum: 5,
      send: (request, server, reply) => this.sent.push({ request, server, reply }),
      cancel: (id) => this.cancelled.push(id),
    });
    if (view !== undefined) this.task.post({ type: 'view', view });
  }

  /** Delivers a caller's request, and returns the number of its exchange. */
  public async arrive(id: string, key?: number, change: Partial<CallerRequest> = {}): Promise<number> {
    this.exchanges += 1;
    const { callerRequest } = createTestRequest(id, {}, key);
    const request = { ...callerRequest, arrivedMs: this.clock.monotonicMs(), ...change };
    this.task.post({
      type: 'arrived',
      exchange: this.exchanges,
      request,
      reply: (reply) => this.replies.push(reply),
    });
    await this.settle();
    return this.exchanges;
  }

  /** Waits until all pending messages are handled. */
  public async settle(): Promise<void> {
    // Timers of deadlines wait for one round of reads.
    await new Promise((resolve) => setImmediate(resolve));
    for (let index = 0; index < 10; index += 1) await Promise.resolve();
  }

  /** Supplies the result of the last request that was sent, and its second copy if it was hedged. */
  public async complete(...result: Parameters<BackendResultCallback>): Promise<void> {
    this.sent.at(-1)?.reply(...result);
    await this.settle();
  }

  public async advance(ms: number): Promise<void> {
    this.clock.advance(ms);
    await this.settle();
  }
}
