import { ManualClock } from '#core/ManualClock.js';
import { Logger } from '#core/Logger.js';
import { MetricsRecorder } from '#metrics/MetricsRecorder.js';
import { PhaseRecorder } from '#metrics/PhaseRecorder.js';
import type { HedgeableRequest } from '#hedging/HedgeableRequest.js';
import type { HedgeResult } from '#hedging/HedgeResult.js';
import type { HedgeServer } from '#hedging/HedgeServer.js';
import type { HedgeSettings } from '#hedging/HedgeSettings.js';
import { HedgeTask } from '#hedging/HedgeTask.js';
import type { SecondCopy } from '#hedging/SecondCopy.js';

interface Sent {
  readonly request: HedgeableRequest;
  readonly server: HedgeServer;
  readonly reply: (result: HedgeResult) => void;
}

interface Reply {
  readonly result: HedgeResult;
  readonly second: SecondCopy<HedgeServer, HedgeResult> | undefined;
}

const DEADLINE_MS = 1_000;

/** Test harness of `HedgeTask`: records the copies that it sends, and lets a test supply their results. */
export class HedgeRun {
  public readonly clock = new ManualClock();
  public readonly metrics = new MetricsRecorder();
  public readonly sent: Sent[] = [];
  public readonly cancelled: string[] = [];
  public readonly replies: Reply[] = [];
  public readonly task: HedgeTask<HedgeableRequest, HedgeServer, HedgeResult>;
  private readonly servers: readonly HedgeServer[];
  private count = 0;

  public constructor(
    serverIds: readonly string[],
    settings: HedgeSettings = { fraction: 1, percentile: 95 },
  ) {
    this.servers = serverIds.map((serverId) => ({ serverId }));
    this.task = new HedgeTask({
      settings,
      clock: this.clock,
      logger: new Logger('test'),
      metrics: this.metrics,
      gains: new PhaseRecorder(),
      send: (request, server, reply) => this.sent.push({ request, server, reply }),
      cancel: (id, server) => this.cancelled.push(`${id}@${server.serverId}`),
    });
  }

  public get counters(): Readonly<Record<string, number>> {
    return this.metrics.snapshotBuckets().counters;
  }

  /** Completes requests at each server, so that their usual latency and free slots are known. */
  public async learn(latencyMs: number, requests = 20): Promise<void> {
    for (let index = 0; index < requests; index += 1) {
      const { serverId } = this.servers[index % this.servers.length] ?? { serverId: '' };
      await this.send(`learn-${index}`, serverId);
      await this.advance(latencyMs);
      await this.complete(this.sent.length - 1, answer(200));
    }
    this.sent.splice(0);
    this.replies.splice(0);
  }

  public async send(id: string, serverId: string): Promise<void> {
    this.count += 1;
    this.task.post({
      type: 'send',
      request: {
        callerRequest: { id },
        service: 's',
        dueMs: this.clock.monotonicMs() + DEADLINE_MS,
        copy: 1,
      },
      server: { serverId },
      offer: { kind: 'k', candidates: this.servers },
      reply: (result, second) => this.replies.push({ result, second }),
    });
    await this.settle();
  }

  /** Supplies the result of a copy by its place in `sent`. */
  public async complete(index: number, result: HedgeResult): Promise<void> {
    this.sent[index]?.reply(result);
    await this.settle();
  }

  public async advance(ms: number): Promise<void> {
    this.clock.advance(ms);
    await this.settle();
  }

  private async settle(): Promise<void> {
    for (let index = 0; index < 5; index += 1) await Promise.resolve();
  }
}

function answer(status: number): HedgeResult {
  return { type: 'answered', response: { status }, load: { running: 0, queued: 0, slots: 4 } };
}
