import { setImmediate } from 'node:timers/promises';
import { ManualClock } from '#core/ManualClock.js';
import { MetricsRecorder } from '#metrics/MetricsRecorder.js';
import { PhaseRecorder } from '#metrics/PhaseRecorder.js';
import { ArrivalTask } from '#mesh/ArrivalTask.js';
import type { CallerReply } from '#mesh/CallerReply.js';
import type { CallerRequest } from '#mesh/CallerRequest.js';
import { createTestRequest } from './CreateTestRequest.js';
import { RecordingLogger } from './RecordingLogger.js';

/** Test harness of `ArrivalTask` with a manual clock, which records what the task passes on. */
export class ArrivalRun {
  public readonly clock = new ManualClock();
  public readonly logger = new RecordingLogger('test');
  public readonly metrics = new MetricsRecorder();
  public readonly delays = new PhaseRecorder();
  public readonly passed: CallerRequest[] = [];
  public readonly left: number[] = [];
  public readonly replies: CallerReply[] = [];
  public readonly task: ArrivalTask;

  /** Processing a request takes `workMs` on the manual clock. */
  public constructor(workMs: number) {
    this.task = new ArrivalTask({
      clock: this.clock,
      logger: this.logger,
      metrics: this.metrics,
      delays: this.delays,
      onRequest: (_exchange, request) => {
        this.passed.push(request);
        this.clock.advance(workMs);
      },
      onLeft: (exchange) => this.left.push(exchange),
    });
  }

  /** Delivers a request as if it had just been read. */
  public arrive(exchange: number, deadlineMs?: number): void {
    const { callerRequest } = createTestRequest(String(exchange));
    this.task.post({
      type: 'arrived',
      exchange,
      request: { ...callerRequest, deadlineMs, arrivedMs: this.clock.monotonicMs() },
      reply: (reply) => this.replies.push(reply),
    });
  }

  /** Waits for this many iterations of the event loop. */
  public async turn(turns: number): Promise<void> {
    for (let index = 0; index < turns; index += 1) await setImmediate();
  }
}
