import type { CrashMark } from '#admission/CrashMark.js';
import { Quarantine } from '#admission/Quarantine.js';
import type { QuarantineResult } from '#admission/QuarantineResult.js';
import { Logger } from '#core/Logger.js';
import { createRequestFingerprint } from '#proxy/CreateRequestFingerprint.js';
import type { MarkedRequest } from '#proxy/MarkedRequest.js';
import type { RoutedRequest } from '#proxy/RoutedRequest.js';
import type { RequestMark } from '#proxy/RequestMark.js';

const MAX_MARKED_REQUESTS = 10_000;
const MARK_RETENTION_MS = 3_600_000;
/** Requests whose connection broke within this time before a crash was noticed count as in flight at the crash. */
const CRASH_WINDOW_MS = 2000;

type Origin = Pick<RequestMark, 'team' | 'service' | 'class'>;

const UNKNOWN_ORIGIN: Origin = { team: '', service: '', class: '' };

interface LostRequest {
  readonly request: RoutedRequest;
  readonly atMs: number;
}

/**
 * Marks the requests that were in flight when the backend server crashed, and passes the marks to `onMarks`. Used only
 * by the owner task.
 */
export class CrashMonitor {
  private readonly logger = new Logger('owner');
  private readonly quarantine = new Quarantine(MAX_MARKED_REQUESTS, MARK_RETENTION_MS);
  /** Team, service and class of marked requests, by fingerprint; the oldest entry is evicted first. */
  private readonly origins = new Map<string, Origin>();
  /** Requests whose connections broke recently, oldest first. */
  private lost: readonly LostRequest[] = [];

  public constructor(
    private readonly serverId: string,
    private readonly onMarks: (marks: readonly RequestMark[]) => void,
  ) {}

  /** Decides whether a request may run with others, only alone, or not at all. */
  public check(request: RoutedRequest, nowMs: number): QuarantineResult {
    if (this.quarantine.size === 0) return { kind: 'run' };
    return this.quarantine.check(computeFingerprint(request), nowMs);
  }

  /** Notes a request whose connection to the backend server broke while it ran. */
  public noteLost(request: RoutedRequest, nowMs: number): void {
    const recent = this.lost.filter(({ atMs }) => nowMs - atMs < CRASH_WINDOW_MS);
    this.lost = [...recent, { request, atMs: nowMs }];
  }

  /**
   * Clears the marks of a request that got a response. Without this, requests that merely ran beside the one that
   * crashed the server would stay marked.
   */
  public noteResponse(request: RoutedRequest, nowMs: number): void {
    if (this.quarantine.size > 0) this.lift(computeFingerprint(request), nowMs);
  }

  /** Marks the requests that were lost with the backend server process `incarnation`. */
  public noteCrash(incarnation: string, nowMs: number): void {
    const recent = this.lost.filter(({ atMs }) => nowMs - atMs < CRASH_WINDOW_MS);
    this.lost = [];
    if (recent.length === 0) return;
    for (const { request } of recent) this.rememberOrigin(computeFingerprint(request), originOf(request));
    const marks = this.quarantine.mark(
      recent.map(({ request }) => computeFingerprint(request)),
      `${this.serverId}/${incarnation}`,
      nowMs,
    );
    if (marks.length === 0) return;
    this.logger.log('backendDied', { step: 'quarantine', peer: this.serverId, inFlight: marks.length });
    this.onMarks(this.describe(marks));
  }

  /** Merges marks received from other daemons. */
  public merge(marks: readonly RequestMark[], nowMs: number): void {
    for (const mark of marks) if (mark.team !== '') this.rememberOrigin(mark.fingerprint, mark);
    this.quarantine.merge(marks, nowMs);
  }

  /** Lists the requests that are marked or held. */
  public list(nowMs: number): readonly MarkedRequest[] {
    return this.quarantine
      .list(nowMs)
      .map((row) => ({ ...row, ...(this.origins.get(row.fingerprint) ?? UNKNOWN_ORIGIN) }));
  }

  /** Clears all marks of a request, and with them its hold; returns whether it had any. */
  public lift(fingerprint: string, nowMs: number): boolean {
    const marks = this.quarantine.clear(fingerprint, nowMs);
    if (marks.length > 0) this.onMarks(this.describe(marks));
    return marks.length > 0;
  }

  /** Removes marks older than the retention time. */
  public expire(nowMs: number): void {
    this.quarantine.expire(nowMs);
  }

  private describe(marks: readonly CrashMark[]): readonly RequestMark[] {
    return marks.map((mark) => ({ ...mark, ...(this.origins.get(mark.fingerprint) ?? UNKNOWN_ORIGIN) }));
  }

  private rememberOrigin(fingerprint: string, { team, service, class: requestClass }: Origin): void {
    this.origins.delete(fingerprint);
    this.origins.set(fingerprint, { team, service, class: requestClass });
    const [oldest] = this.origins.keys();
    if (this.origins.size > MAX_MARKED_REQUESTS && oldest !== undefined) this.origins.delete(oldest);
  }
}

function originOf({ entry }: RoutedRequest): Origin {
  return { team: entry.owner, service: entry.service, class: entry.class };
}

function computeFingerprint(request: RoutedRequest): string {
  return createRequestFingerprint(
    request.head,
    Buffer.isBuffer(request.body) ? request.body.toString('base64') : '',
  );
}
