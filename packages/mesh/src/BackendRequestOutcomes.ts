import type { BackendResponse } from '#mesh/BackendResponse.js';
import { classifyResponse } from '#mesh/ClassifyResponse.js';
import type { CrashRecord } from '#mesh/CrashRecord.js';
import { createRefusal } from '#mesh/CreateRefusal.js';
import { findHeader } from '#mesh/FindHeader.js';
import type { ServiceTimesByKind } from '#mesh/ServiceTimesByKind.js';
import type { LoadMeter } from '#mesh/LoadMeter.js';
import type { LoadReport } from '#mesh/LoadReport.js';
import type { LossCode } from '#mesh/LossCode.js';
import type { BackendRequest } from '#mesh/BackendRequest.js';
import type { BackendRequestTable } from '#mesh/BackendRequestTable.js';
import type { BackendResult } from '#mesh/BackendResult.js';
import { parseLoad } from '#mesh/ParseLoad.js';
import type { Presence } from '#mesh/Presence.js';
import type { QueuedBackendRequest } from '#mesh/QueuedBackendRequest.js';
import type { RefusalCode } from '#mesh/RefusalCode.js';
import type { RunningBackendRequest } from '#mesh/RunningBackendRequest.js';
import type { ServerOptions } from '#mesh/ServerOptions.js';

/** What `ServerTask` lets its `OrderOutcomes` use. */
interface OutcomeSources {
  readonly options: ServerOptions;
  readonly ledger: BackendRequestTable;
  readonly times: ServiceTimesByKind;
  readonly meter: LoadMeter;
  readonly crashes: CrashRecord;
  readonly presence: () => Presence;
  readonly report: () => LoadReport;
}

/** Works out the results of a backend server's orders, logs the bad ones and gives them to those that wait. */
export class BackendRequestOutcomes {
  private readonly sources: OutcomeSources;
  private lastAnswerMs = -Infinity;

  public constructor(sources: OutcomeSources) {
    this.sources = sources;
  }

  /** Monotonic time of the last complete answer, in milliseconds. */
  public get answeredMs(): number {
    return this.lastAnswerMs;
  }

  /** Ends an order that has a complete answer. */
  public finish(running: RunningBackendRequest, answer: BackendResponse): void {
    const { options, times, meter, crashes, report } = this.sources;
    const { order, sentMs } = running;
    const nowMs = this.now();
    this.lastAnswerMs = nowMs;
    const kind = classifyResponse(answer, options.headers);
    const reported = parseLoad(findHeader(answer.headers, options.headers.load));
    if (reported !== undefined) meter.note(reported, nowMs);
    if (kind === 'shed' || kind === 'misdirected') {
      this.end(order, this.refuse(order, kind, true));
      return;
    }
    const tookMs = nowMs - sentMs;
    times.add(order, tookMs);
    if (kind === 'invalid') {
      this.lose(running, 'badAnswer', `status ${answer.status} is not a valid answer`);
      return;
    }
    crashes.noteRun(order, nowMs);
    this.end(order, { type: 'answered', answer, load: report() });
  }

  /** Ends an order that may have run and has no valid answer. */
  public lose({ order, sentMs }: RunningBackendRequest, code: LossCode, reason: string): void {
    const { options, crashes, presence, report } = this.sources;
    const nowMs = this.now();
    options.logger.log('orderLost', {
      step: 'backend',
      peer: presence().address,
      id: order.request.id,
      code,
      reason,
      ranMs: Math.round(nowMs - sentMs),
      incarnation: presence().incarnation,
    });
    if (code === 'connectionLost') crashes.noteLoss(order, nowMs);
    this.end(order, { type: 'lost', code, load: report() });
  }

  /** Ends orders that waited and will not run. */
  public refuseAll(waiting: readonly QueuedBackendRequest[], code: RefusalCode): void {
    for (const { order } of waiting) this.end(order, this.refuse(order, code, false));
  }

  /** Logs a refusal and returns it. */
  public refuse(order: BackendRequest, code: RefusalCode, arrived: boolean): BackendResult {
    const { options, report } = this.sources;
    const load = report();
    options.logger.log('orderRefused', {
      step: 'queue',
      id: order.request.id,
      code,
      running: load.running,
      queued: load.queued,
      waitMs: Math.round(load.waitMs),
      leftMs: Math.round(order.dueMs - this.now()),
    });
    return createRefusal(code, load, arrived);
  }

  private end(order: BackendRequest, result: BackendResult): void {
    this.sources.ledger.close(order.request.id, result, this.now());
  }

  private now(): number {
    return this.sources.options.clock.monotonicMs();
  }
}
