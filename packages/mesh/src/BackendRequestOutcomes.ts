import type { BackendResponse } from '#mesh/BackendResponse.js';
import { classifyResponse } from '#mesh/ClassifyResponse.js';
import type { CrashRecord } from '#mesh/CrashRecord.js';
import { createRefusal } from '#mesh/CreateRefusal.js';
import { findHeader } from '#mesh/FindHeader.js';
import type { ServiceTimesByKind } from '#mesh/ServiceTimesByKind.js';
import type { LoadMeter } from '#mesh/LoadMeter.js';
import type { LoadReport } from '#balance/LoadReport.js';
import type { LossCode } from '#mesh/LossCode.js';
import type { BackendRequest } from '#mesh/BackendRequest.js';
import type { BackendRequestTable } from '#mesh/BackendRequestTable.js';
import type { BackendResult } from '#mesh/BackendResult.js';
import { parseLoad } from '#mesh/ParseLoad.js';
import type { Presence } from '#mesh/Presence.js';
import type { QueuedBackendRequest } from '#mesh/QueuedBackendRequest.js';
import type { RefusalCode } from '#mesh/RefusalCode.js';
import type { RunningBackendRequest } from '#mesh/RunningBackendRequest.js';
import type { ServerAdmission } from '#mesh/ServerAdmission.js';
import type { ServerOptions } from '#mesh/ServerOptions.js';

/** Refusals for lack of capacity: their callers get a place in the return schedule. */
const CAPACITY_REFUSALS: ReadonlySet<RefusalCode> = new Set(['full', 'displaced', 'tooLate']);

/** State of `ServerTask` and callbacks that the results depend on. */
interface OutcomeDependencies {
  readonly options: ServerOptions;
  readonly requests: BackendRequestTable;
  readonly times: ServiceTimesByKind;
  readonly meter: LoadMeter;
  readonly crashes: CrashRecord;
  readonly presence: () => Presence;
  readonly admission: ServerAdmission;
  readonly report: () => LoadReport;
  /** Receives the number of requests that the backend server reported to run with the response to one of them. */
  readonly onReported: (running: number) => void;
}

/**
 * Determines the result of each request to a backend server, logs losses and refusals, and reports it to the
 * senders.
 */
export class BackendRequestOutcomes {
  private readonly dependencies: OutcomeDependencies;
  private lastResponseAtMs = -Infinity;

  public constructor(dependencies: OutcomeDependencies) {
    this.dependencies = dependencies;
  }

  /** Monotonic time of the last complete response, in milliseconds. */
  public get lastResponseMs(): number {
    return this.lastResponseAtMs;
  }

  /** Ends a request that received a complete response. */
  public finish(running: RunningBackendRequest, response: BackendResponse): void {
    const { options, times, meter, crashes, report, onReported } = this.dependencies;
    const { request, sentMs } = running;
    const nowMs = this.now();
    this.lastResponseAtMs = nowMs;
    const kind = classifyResponse(response, options.headers);
    const reported = parseLoad(findHeader(response.headers, options.headers.load));
    if (reported !== undefined) {
      meter.note(reported, nowMs);
      onReported(reported.running);
    }
    if (kind === 'shed' || kind === 'misdirected') {
      this.end(request, this.refuse(request, kind, true));
      return;
    }
    const tookMs = nowMs - sentMs;
    times.add(request, tookMs);
    if (kind === 'invalid') {
      this.lose(running, 'badAnswer', `response with status ${response.status} is not valid`);
      return;
    }
    crashes.noteSuccess(request, nowMs);
    this.end(request, { type: 'answered', response, load: report() });
  }

  /** Ends a request that may have run and received no valid response. */
  public lose({ request, sentMs }: RunningBackendRequest, code: LossCode, reason: string): void {
    const { options, crashes, presence, report } = this.dependencies;
    const nowMs = this.now();
    options.logger.log('orderLost', {
      step: 'backend',
      peer: presence().address,
      id: request.callerRequest.id,
      code,
      reason,
      ranMs: Math.round(nowMs - sentMs),
      incarnation: presence().incarnation,
    });
    if (code === 'connectionLost') crashes.noteLoss(request, nowMs);
    this.end(request, { type: 'lost', code, load: report() });
  }

  /** Ends queued requests that will not run. */
  public refuseAll(waiting: readonly QueuedBackendRequest[], code: RefusalCode): void {
    for (const { request } of waiting) this.end(request, this.refuse(request, code, false));
  }

  /** Logs and returns a refusal. `arrived` tells whether the backend server itself refused the request. */
  public refuse(request: BackendRequest, code: RefusalCode, arrived: boolean): BackendResult {
    const { options, admission, report } = this.dependencies;
    const nowMs = this.now();
    const load = report();
    options.logger.log('orderRefused', {
      step: 'queue',
      id: request.callerRequest.id,
      code,
      running: load.running,
      queued: load.queued,
      waitMs: Math.round(load.waitMs),
      leftMs: Math.round(request.dueMs - nowMs),
    });
    if (!CAPACITY_REFUSALS.has(code)) return createRefusal(code, load, arrived, undefined);
    admission.noteRefused(request, nowMs);
    return createRefusal(code, load, arrived, admission.reserveReturn(load, nowMs));
  }

  private end(request: BackendRequest, result: BackendResult): void {
    this.dependencies.requests.close(request.callerRequest.id, result, this.now());
  }

  private now(): number {
    return this.dependencies.options.clock.monotonicMs();
  }
}
