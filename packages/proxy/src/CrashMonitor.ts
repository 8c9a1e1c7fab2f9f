import type { CrashMark } from '#admission/CrashMark.js';
import { Quarantine } from '#admission/Quarantine.js';
import type { QuarantineResult } from '#admission/QuarantineResult.js';
import { Logger } from '#core/Logger.js';
import { createRequestFingerprint } from '#proxy/CreateRequestFingerprint.js';
import type { MarkedRequest } from '#proxy/MarkedRequest.js';
import type { RoutedRequest } from '#proxy/RoutedRequest.js';
import type { RequestMark } from '#proxy/RequestMark.js';

const MAX_ENTRIES = 10_000;
const KEEP_MS = 3_600_000;
/** Orders that were lost within this time before a death was noticed count as in flight at the death. */
const DEATH_WINDOW_MS = 2000;

type Origin = Pick<RequestMark, 'team' | 'service' | 'class'>;

const FORGOTTEN: Origin = { team: '', service: '', class: '' };

interface LostOrder {
  readonly order: RoutedRequest;
  readonly atMs: number;
}

/**
 * Finds the requests that were in flight when a backend server died, and sends their marks to the listener. Used by the
 * owner task alone.
 */
export class CrashMonitor {
  private readonly logger = new Logger('owner');
  private readonly quarantine = new Quarantine(MAX_ENTRIES, KEEP_MS);
  /** Where marked requests come from, by fingerprint; the entry that was added first is forgotten first. */
  private readonly origins = new Map<string, Origin>();
  private lost: readonly LostOrder[] = [];

  public constructor(
    private readonly serverId: string,
    private readonly onMarks: (marks: readonly RequestMark[]) => void,
  ) {}

  /** Decides how an order may run. */
  public check(order: RoutedRequest, nowMs: number): QuarantineResult {
    if (this.quarantine.size === 0) return { kind: 'run' };
    return this.quarantine.check(fingerprintOf(order), nowMs);
  }

  /** Notes an order whose connection broke while it ran. */
  public noteLost(order: RoutedRequest, nowMs: number): void {
    const recent = this.lost.filter(({ atMs }) => nowMs - atMs < DEATH_WINDOW_MS);
    this.lost = [...recent, { order, atMs: nowMs }];
  }

  /** Clears the marks of an order that was answered, so that requests beside a crashing one are not blamed for good. */
  public noteAnswered(order: RoutedRequest, nowMs: number): void {
    if (this.quarantine.size > 0) this.lift(fingerprintOf(order), nowMs);
  }

  /** Marks the orders that were lost with the backend server process `incarnation`. */
  public markDeath(incarnation: string, nowMs: number): void {
    const recent = this.lost.filter(({ atMs }) => nowMs - atMs < DEATH_WINDOW_MS);
    this.lost = [];
    if (recent.length === 0) return;
    for (const { order } of recent) this.remember(fingerprintOf(order), originOf(order));
    const marks = this.quarantine.mark(
      recent.map(({ order }) => fingerprintOf(order)),
      `${this.serverId}/${incarnation}`,
      nowMs,
    );
    if (marks.length === 0) return;
    this.logger.log('backendDied', { step: 'quarantine', peer: this.serverId, inFlight: marks.length });
    this.onMarks(this.describe(marks));
  }

  /** Merges marks of other daemons. */
  public merge(marks: readonly RequestMark[], nowMs: number): void {
    for (const mark of marks) if (mark.team !== '') this.remember(mark.fingerprint, mark);
    this.quarantine.merge(marks, nowMs);
  }

  /** Lists requests that are marked or held. */
  public list(nowMs: number): readonly MarkedRequest[] {
    return this.quarantine
      .list(nowMs)
      .map((row) => ({ ...row, ...(this.origins.get(row.fingerprint) ?? FORGOTTEN) }));
  }

  /** Lifts a hold; returns whether there was one. */
  public lift(fingerprint: string, nowMs: number): boolean {
    const marks = this.quarantine.clear(fingerprint, nowMs);
    if (marks.length > 0) this.onMarks(this.describe(marks));
    return marks.length > 0;
  }

  /** Forgets old marks. */
  public expire(nowMs: number): void {
    this.quarantine.expire(nowMs);
  }

  private describe(marks: readonly CrashMark[]): readonly RequestMark[] {
    return marks.map((mark) => ({ ...mark, ...(this.origins.get(mark.fingerprint) ?? FORGOTTEN) }));
  }

  private remember(fingerprint: string, { team, service, class: requestClass }: Origin): void {
    this.origins.delete(fingerprint);
    this.origins.set(fingerprint, { team, service, class: requestClass });
    const [oldest] = this.origins.keys();
    if (this.origins.size > MAX_ENTRIES && oldest !== undefined) this.origins.delete(oldest);
  }
}

function originOf({ entry }: RoutedRequest): Origin {
  return { team: entry.owner, service: entry.service, class: entry.class };
}

function fingerprintOf(order: RoutedRequest): string {
  return createRequestFingerprint(
    order.head,
    Buffer.isBuffer(order.body) ? order.body.toString('base64') : '',
  );
}
